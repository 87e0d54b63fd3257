{
  name: 'heavy_tail',
  about: 'some work lives far longer',
  faults: [
    { at: 2, kind: 'heavy_tail', by: 5, lasts: 10 },
  ],
}

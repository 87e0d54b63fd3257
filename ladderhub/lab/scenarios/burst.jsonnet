{
  name: 'burst',
  about: 'demand jumps',
  faults: [
    { at: 3, kind: 'burst', by: 3, lasts: 3 },
    { at: 10, kind: 'burst', by: 2, lasts: 4 },
  ],
}

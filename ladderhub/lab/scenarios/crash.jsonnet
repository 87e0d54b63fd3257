{
  name: 'crash',
  about: 'nodes die and come back cold',
  faults: [
    { at: 3, kind: 'crash', share: 0.25, lasts: 4 },
    { at: 10, kind: 'crash', share: 0.2, lasts: 5 },
  ],
}

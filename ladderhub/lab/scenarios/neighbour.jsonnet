{
  name: 'neighbour',
  about: 'other programs on the machines make all slower',
  faults: [
    { at: 3, kind: 'neighbour', share: 0.4, by: 3, lasts: 9 },
  ],
}

{
  name: 'grow',
  about: 'nodes are switched on while work comes',
  faults: [
    { at: 1, kind: 'off', share: 0.4 },
    { at: 8, kind: 'grow' },
  ],
}

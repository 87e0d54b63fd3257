{
  name: 'flush',
  about: 'kept programs are lost',
  faults: [
    { at: 4, kind: 'flush' },
    { at: 10, kind: 'flush', share: 0.6 },
  ],
}

{
  name: 'slow',
  about: 'some nodes run several times slower',
  faults: [
    { at: 3, kind: 'slow', share: 0.3, by: 8, lasts: 10 },
  ],
}

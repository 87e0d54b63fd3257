{
  name: 'hot_key',
  about: 'one service draws most of the work',
  faults: [
    { at: 3, kind: 'hot_key', share: 0.7, lasts: 10 },
  ],
}

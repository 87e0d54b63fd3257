{
  name: 'ageing',
  about: 'nodes get slower and slower',
  faults: [
    { at: 2, kind: 'ageing', share: 0.5, by: 6, lasts: 12 },
  ],
}

{
  name: 'throttle',
  about: 'nodes turn one tenant away wrongly',
  faults: [
    { at: 3, kind: 'throttle', tenant: 'north', lasts: 5 },
    { at: 11, kind: 'throttle', tenant: 'south', share: 0.5, lasts: 5 },
  ],
}

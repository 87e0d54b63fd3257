{
  name: 'zone_loss',
  about: 'a whole rack is lost at once and comes back cold',
  faults: [
    { at: 4, kind: 'zone_loss', rack: 'rack-1', lasts: 5 },
    { at: 11, kind: 'zone_loss', rack: 'rack-3', lasts: 4 },
  ],
}

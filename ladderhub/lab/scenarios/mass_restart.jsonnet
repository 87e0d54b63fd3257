{
  name: 'mass_restart',
  about: 'owners restart their services together',
  faults: [
    { at: 6, kind: 'mass_restart', share: 0.7 },
    { at: 12, kind: 'mass_restart', share: 0.7 },
  ],
}

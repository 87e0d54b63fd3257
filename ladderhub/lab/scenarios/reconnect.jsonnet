{
  name: 'reconnect',
  about: 'every connection is cut, again and again',
  faults: [
    { at: 3, kind: 'reconnect' },
    { at: 6, kind: 'reconnect' },
    { at: 9, kind: 'reconnect' },
    { at: 12, kind: 'reconnect' },
  ],
}

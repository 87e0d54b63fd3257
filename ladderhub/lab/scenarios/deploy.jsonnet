{
  name: 'deploy',
  about: 'a rolling deploy with cold successors',
  faults: [
    { at: 2, kind: 'deploy', share: 0.5, lasts: 2, by: 1.0 },
  ],
}

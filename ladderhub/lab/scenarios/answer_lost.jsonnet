{
  name: 'answer_lost',
  about: 'answers to Commit never leave the node',
  faults: [
    { at: 3, kind: 'answer_lost', share: 0.5, by: 0.5, lasts: 8 },
  ],
}

{
  name: 'pauses',
  about: 'schedulers and nodes stand still for moments',
  faults: [
    { at: 3, kind: 'pauses', scheduler: 'sched0', lasts: 1.5 },
    { at: 7, kind: 'stall', share: 0.3, lasts: 2 },
    { at: 11, kind: 'pauses', scheduler: 'sched1', lasts: 2 },
  ],
}

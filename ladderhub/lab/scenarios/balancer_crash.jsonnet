{
  name: 'balancer_crash',
  about: 'schedulers are killed outright and come back',
  faults: [
    { at: 4, kind: 'balancer_crash', scheduler: 'sched0', lasts: 2 },
    { at: 10, kind: 'balancer_crash', scheduler: 'sched1', lasts: 3 },
  ],
}

// The full size, how it is simulated on one machine, and the budgets of its figures.
{
  size: {
    nodes: 1100,
    starts_per_s: 350,
    running: 3700,
    teams: 230,
    schedulers: 237,  // real and hollow ones
    changes_per_h: 40,  // 960 a day
  },
  real_schedulers: 7,
  seed: 1,

  // Failures, replacements and restarts of nodes per day, and the factor by which a run accelerates them.
  // Configuration changes are accelerated by the same factor.
  churn: {
    failed_per_day: 12,
    replaced_per_day: 48,
    restarted_per_day: 48,
    node_back_s: 4,
    speedup: 20,
    nodes_per_rack: 24,
    racks_per_zone: 12,
    rack_lost_at: 0.5,  // share of the measured span of a full-size run
    rack_back_s: 8,
  },

  playing: {
    fill_s: 15,  // initial phase in which the number of running tasks reaches its target
    measure_s: 20,
    full_measure_s: 60,
    settle_s: 7,  // longer than the longest deadline
    register_s: 60,
    ready_s: 60,
    join_s: 14,  // time for the schedulers to discover each other and to acquire their leases
    node_processes: 6,
    hollow_processes: 4,
    load_processes: 2,
    memory_gib_most: 12,
    processes_most: 200,
    run_s_most: 400,  // duration of one run, counted from its first process
    waited_most: 0.1,  // share of the time; above it a run's times are distorted by other load on the machine
  },

  slopes: {
    shares: [1 / 8, 1 / 4, 1 / 2],
    held_at: 1 / 4,
    changes_speedup: 100,  // so that each short run has some changes
    residual_most: 0.05,  // share of the range; above it the points are not on a line
    flat: 0.1,  // a figure whose range is at most this share of its value does not depend on the dimension
    error_most: 0.25,  // predictions with a larger relative error are listed
  },

  // The classes of jobs by their queue, and the emulated work.
  load: {
    classes: {
      urgent: { share: 0.05, services: 40, cores: [0.25, 0.5], memory_gib: 0.5 },
      web: { share: 0.5, services: 300, cores: [0.25, 0.5, 1], memory_gib: 1 },
      batch: { share: 0.45, services: 200, cores: [0.5, 1, 2], memory_gib: 2 },
    },
    life_least_s: 0.2,
    warm_ms: 40,
    cold_times: 6,
  },

  // The settings of the schedulers that do not depend on the size.
  settings: {
    queues: {
      urgent: { effect: 'safe', aim: '400ms', deadline: '5s', limit: '20s', priority: 3, worth: 5 },
      web: { effect: 'safe', aim: '800ms', deadline: '6s', limit: '20s', priority: 1, worth: 3 },
      batch: { effect: 'safe', aim: '1s', deadline: '6s', limit: '20s', worth: 2 },
    },
    default_queue: 'batch',
    kinds: {
      small: { cores: 16, memory: '32gb' },
      large: { cores: 32, memory: '64gb' },
    },
    nodes: {
      answers: 'running', admit_cores: 2, admit_memory: 1.5, most_attempts: 3, drain_grace: '500ms',
      list_shows_room: true, connect: '500ms',
      cold: { pace: 0.25, span: '6s', window: '2s', multiple: 2, safe_offers: 24 },
    },
    keep_finished: '10m',
    most_connections: 5000,
    stop_within: '5s',
    log: { format: 'json', level: 'info' },
  },
  quota: { rate_times: 2, cores_times: 2 },  // multiples of an equal share of the starts and of the cores
  peers: { period: '1s', lease: '8s', electors: 5, seeds: 3 },

  // Control work is the processor time of these causes, and all bytes except those of the job path (clients
  // and nodes).
  control: {
    causes: ['lists', 'peers', 'configuration'],
    job_kinds: ['client', 'node'],
  },
  budgets: [
    { figure: 'scheduler.most.control.cores', limit: 0.033 },
    { figure: 'scheduler.most.control.bytes_per_s', limit: 14000 },
    { figure: 'scheduler.most.memory_mb', limit: 64 },
    { figure: 'elector.most.control.cores', limit: 0.033 },
    { figure: 'elector.most.control.bytes_per_s', limit: 14000 },
    { figure: 'elector.most.memory_mb', limit: 64 },
    { figure: 'starts.urgent.p99_ms', limit: 1600 },
    { figure: 'starts.urgent.missed_share', limit: 0.01 },
    { figure: 'change_in_force_s.most', limit: 4 },
    { figure: 'change_in_force_s.missed_share', limit: 0 },
  ],
}

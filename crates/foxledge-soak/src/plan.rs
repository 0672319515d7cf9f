//! The plan of faults and their times: a pure function of the options and their seed.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::store::ReplicaLag;

/// The size, duration and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The seed of all random choices.
    pub seed: u64,
    /// The time during which faults occur, in seconds.
    pub seconds: u64,
    /// The number of instances in each of the two data centres.
    pub instances: usize,
    /// The number of caller addresses in each data centre.
    pub callers: usize,
    /// The mean time between two faults, in milliseconds; 0 for a run without faults.
    pub fault_every_ms: u64,
    /// The range of faults.
    pub range: FaultRange,
}

/// The kinds of faults in a run.
///
/// A seed must always produce the same faults, so that failed seeds stay reproducible: new kinds
/// of faults are added in a new range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultRange {
    /// Faults of instances, of the store and the links that they use, and of whole backend
    /// servers.
    Control,
    /// The faults above, and faults on the path of callers' packets.
    Packets,
    /// The faults above, and faults of backend servers' entries. Some callers use persistent flows
    /// for non-idempotent requests.
    Entries,
    /// The faults above, and evacuations of data centres.
    Evacuations,
    /// The faults above, and a store that is restored from older snapshots.
    Restores,
    /// Replicas of the store that are behind and long entries of other writers, while instances
    /// start and lists and backend servers change.
    Replicas,
    /// Bursts of load, with instances that are killed or isolated at the same time. Backend
    /// servers have slots, callers belong to a data centre, and instances report load and refuse
    /// new flows.
    Bursts,
}

impl FaultRange {
    /// Returns whether backend servers' entries include their start times.
    pub fn includes_start_times(self) -> bool {
        matches!(self, FaultRange::Entries | FaultRange::Evacuations | FaultRange::Restores)
    }

    /// Returns whether backend servers have slots and instances report load.
    pub fn shares_load(self) -> bool {
        self == FaultRange::Bursts
    }
}

impl SoakOptions {
    /// Creates the options of a run of the default size.
    pub fn new(seed: u64) -> SoakOptions {
        SoakOptions {
            seed,
            seconds: 20,
            instances: 3,
            callers: 4,
            fault_every_ms: 700,
            range: FaultRange::Control,
        }
    }

    /// Sets the range of faults.
    pub fn range(mut self, range: FaultRange) -> SoakOptions {
        self.range = range;
        self
    }

    /// Sets the time during which faults occur, in seconds.
    pub fn seconds(mut self, seconds: u64) -> SoakOptions {
        self.seconds = seconds;
        self
    }

    /// Sets the number of instances in each data centre.
    pub fn instances(mut self, instances: usize) -> SoakOptions {
        self.instances = instances;
        self
    }

    /// Sets the mean time between two faults, in milliseconds; 0 for a run without faults.
    pub fn fault_every_ms(mut self, millis: u64) -> SoakOptions {
        self.fault_every_ms = millis;
        self
    }
}

/// A fault that is injected into the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// An instance is killed with SIGKILL and restarted after a delay.
    Kill {
        /// The index of the instance.
        instance: usize,
        /// The time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// All instances are killed with SIGKILL and restarted after a delay.
    KillAll {
        /// The time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// An instance gets SIGTERM, perhaps more than once, and is restarted when it has exited.
    Stop {
        /// The index of the instance.
        instance: usize,
        /// The number of signals.
        times: u32,
    },
    /// An instance is paused with SIGSTOP and resumed with SIGCONT.
    Pause {
        /// The index of the instance.
        instance: usize,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// An instance reloads its settings on SIGHUP.
    Reload {
        /// The index of the instance.
        instance: usize,
    },
    /// The store doesn't respond, responds with 503, or responds slowly.
    StoreDown {
        /// 0 for status 503, 1 for no response, 2 for slow responses.
        how: u32,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// The store discards its history.
    StoreCompact,
    /// Entries lapse while the store is unavailable, and are registered again later.
    StoreLapse {
        /// The time during which the store is unavailable, in milliseconds.
        for_ms: u64,
    },
    /// The store is restored from an older snapshot, and lost items are written again.
    StoreRestored {
        /// The age of the snapshot when the store becomes unavailable, in milliseconds.
        age_ms: u64,
        /// The time during which the store is unavailable, in milliseconds.
        away_ms: u64,
    },
    /// An instance's link to the store is faulty.
    StoreLink {
        /// The index of the instance.
        instance: usize,
        /// 0 cut, 1 cut for responses, 2 delayed, 3 reset, 4 silent on open connections.
        how: u32,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// Messages between an instance and all others are lost or delayed.
    PeerLink {
        /// The instance whose messages to all others are affected.
        instance: usize,
        /// 0 cut in both directions, 1 cut in one direction, 2 delayed, 3 lossy.
        how: u32,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// A backend server dies, and another takes its place when its entry has lapsed.
    BackendDies {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
    },
    /// A backend server dies, and its address is reused by one of the other service.
    BackendReused {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
    },
    /// A backend server is drained and replaced.
    BackendReplaced {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
    },
    /// A backend server doesn't respond for some time, but keeps its state.
    BackendSilent {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// Callers' packets and the responses to them are lost.
    PacketLoss {
        /// The number of lost packets in a thousand, in each direction.
        per_mille: u32,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// A backend server crashes and restarts under the same id.
    BackendRestarts {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
        /// The time until the restart, in milliseconds.
        down_ms: u64,
        /// The address at which it restarts.
        restart: RestartAddress,
    },
    /// Another writer overwrites a backend server's entry, until the backend server writes its own
    /// entry again.
    EntryCorrupted {
        /// The index of the backend server, modulo the number of those that run.
        backend: usize,
        /// The kind of the value that is written.
        value: CorruptEntry,
        /// The time until the own entry is written again, in milliseconds.
        for_ms: u64,
    },
    /// Another writer adds an entry, and removes it later.
    EntryAdded {
        /// The backend server whose number the entry has; none for an unused number.
        backend: Option<usize>,
        /// The kind of the value that is written.
        value: CorruptEntry,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// Another writer adds a valid entry of an unknown service with a long name, and removes it
    /// later.
    LongEntry {
        /// The length of the name, in bytes.
        name_bytes: usize,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// The replicas of the store that serve serializable reads are behind.
    ReplicaLag {
        /// The number of changes by which they are behind.
        lag: ReplicaLag,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// A data centre is evacuated for some time.
    Evacuate {
        /// The index of the data centre, 0 or 1.
        centre: usize,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// New lists are published.
    Publish {
        /// The number of lists, published at intervals of 300 ms.
        times: u32,
    },
    /// The rate of requests rises above the base load.
    Burst {
        /// The callers that send more requests.
        source: BurstSource,
        /// The duration of the fault, in milliseconds.
        for_ms: u64,
    },
}

/// The callers whose rate of requests rises in a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BurstSource {
    /// All callers of the data centre with this index.
    Centre(usize),
    /// All callers, with requests of the less urgent kind.
    Kind,
    /// The caller address with this index, with requests of the less urgent kind.
    Caller(usize),
}

/// The address at which a backend server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartAddress {
    /// The same address as before.
    Same,
    /// Another address.
    Other,
}

/// The kind of a corrupt entry that another writer leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptEntry {
    /// Truncated JSON.
    InvalidJson,
    /// The state is null.
    MissingState,
    /// The state is unknown.
    UnknownState,
    /// The address is a host name.
    BadAddress,
    /// The number of slots is negative.
    BadSlots,
    /// The start time is a fraction.
    BadStart,
    /// A valid entry with an address where no backend server runs.
    OtherAddress,
}

impl CorruptEntry {
    /// All kinds.
    pub const ALL: [CorruptEntry; 7] = [
        CorruptEntry::InvalidJson,
        CorruptEntry::MissingState,
        CorruptEntry::UnknownState,
        CorruptEntry::BadAddress,
        CorruptEntry::BadSlots,
        CorruptEntry::BadStart,
        CorruptEntry::OtherAddress,
    ];
}

/// The faults of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults with their times since the start in milliseconds, in order.
    pub faults: Vec<(u64, SoakFault)>,
}

impl FaultPlan {
    /// Creates the plan of a run.
    pub fn new(options: &SoakOptions) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut faults = Vec::new();
        if options.fault_every_ms == 0 {
            return FaultPlan { faults };
        }
        let end = options.seconds * 1_000;
        let mut at = 500;
        while at < end {
            faults.push((at, random_fault(&mut rng, options)));
            // A quarter of the faults follow the one before almost at once.
            let is_together = rng.random_bool(0.25);
            let pause = rng.random_range(0..options.fault_every_ms * 2);
            at += if is_together { 5 } else { pause };
        }
        FaultPlan { faults }
    }
}

fn random_fault(rng: &mut StdRng, options: &SoakOptions) -> SoakFault {
    let instance = rng.random_range(0..options.instances * 2);
    let backend = rng.random_range(0..1_000);
    let for_ms = rng.random_range(300..6_000);
    let kinds = match options.range {
        FaultRange::Control => 20,
        FaultRange::Packets => 25,
        FaultRange::Entries => 34,
        FaultRange::Evacuations => 40,
        FaultRange::Restores => 46,
        FaultRange::Replicas => return random_replica_fault(rng, instance, backend),
        FaultRange::Bursts => return random_burst_fault(rng, options, instance),
    };
    match rng.random_range(0..kinds) {
        0..3 => SoakFault::Kill { instance, down_ms: rng.random_range(100..2_500) },
        3..5 => SoakFault::Stop { instance, times: rng.random_range(1..3) },
        5..7 => SoakFault::Pause { instance, for_ms },
        7 => SoakFault::Reload { instance },
        8 => SoakFault::StoreDown { how: rng.random_range(0..3), for_ms },
        9 => SoakFault::StoreCompact,
        10..12 => SoakFault::StoreLink { instance, how: rng.random_range(0..5), for_ms },
        12..14 => SoakFault::PeerLink { instance, how: rng.random_range(0..4), for_ms },
        14 => SoakFault::BackendDies { backend },
        15 => SoakFault::BackendReused { backend },
        16 => SoakFault::BackendReplaced { backend },
        17 => SoakFault::StoreLapse { for_ms },
        18 if rng.random_bool(0.3) => SoakFault::KillAll { down_ms: rng.random_range(200..1_500) },
        20..23 => SoakFault::BackendSilent { backend, for_ms },
        25..30 => SoakFault::BackendRestarts {
            backend,
            down_ms: rng.random_range(5..3_000),
            restart: if rng.random_bool(0.6) {
                RestartAddress::Same
            } else {
                RestartAddress::Other
            },
        },
        30..32 => SoakFault::EntryCorrupted { backend, value: random_value(rng), for_ms },
        40.. => SoakFault::StoreRestored {
            age_ms: rng.random_range(0..8_000),
            away_ms: rng.random_range(100..4_000),
        },
        34..40 => SoakFault::Evacuate {
            centre: rng.random_range(0..2),
            for_ms: rng.random_range(2_000..12_000),
        },
        32..34 => SoakFault::EntryAdded {
            backend: rng.random_bool(0.5).then_some(backend),
            value: random_value(rng),
            for_ms,
        },
        23.. => SoakFault::PacketLoss { per_mille: rng.random_range(20..400), for_ms },
        _ => SoakFault::Publish { times: rng.random_range(1..6) },
    }
}

fn random_replica_fault(rng: &mut StdRng, instance: usize, backend: usize) -> SoakFault {
    let for_ms = rng.random_range(1_000..6_000);
    match rng.random_range(0..20) {
        0..4 => SoakFault::KillAll { down_ms: rng.random_range(200..1_000) },
        4..6 => SoakFault::Kill { instance, down_ms: rng.random_range(100..2_500) },
        6..11 => SoakFault::ReplicaLag {
            lag: ReplicaLag {
                first_page: rng.random_range(0..8),
                later_pages: rng.random_range(0..8),
            },
            for_ms,
        },
        // An entry that delays what comes after it must stay for longer than changes may take.
        11..14 => SoakFault::LongEntry {
            name_bytes: rng.random_range(500..4_096),
            for_ms: for_ms + 6_000,
        },
        14..18 => SoakFault::BackendReplaced { backend },
        _ => SoakFault::Publish { times: rng.random_range(1..6) },
    }
}

fn random_burst_fault(rng: &mut StdRng, options: &SoakOptions, instance: usize) -> SoakFault {
    let for_ms = rng.random_range(1_500..4_000);
    let source = match rng.random_range(0..10) {
        0..2 => BurstSource::Centre(rng.random_range(0..2)),
        2..4 => BurstSource::Kind,
        4..6 => BurstSource::Caller(rng.random_range(0..options.callers * 2)),
        6..8 => return SoakFault::Kill { instance, down_ms: rng.random_range(100..2_500) },
        _ => return SoakFault::PeerLink { instance, how: rng.random_range(0..4), for_ms },
    };
    SoakFault::Burst { source, for_ms }
}

fn random_value(rng: &mut StdRng) -> CorruptEntry {
    CorruptEntry::ALL[rng.random_range(0..CorruptEntry::ALL.len())]
}

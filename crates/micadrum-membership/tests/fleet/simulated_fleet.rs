//! A fleet in simulated time, whose links can lose, delay and duplicate datagrams, and whose processes can
//! pause and restart.
use micadrum_membership::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const SETTINGS: Settings = Settings {
    probe_interval: ms(100),
    suspicion_timeout: ms(1000),
    send_budget: SendBudget { datagrams_per_second: 400.0, bytes_per_second: 100_000.0 },
};

/// The conditions of a link in one direction.
#[derive(Clone, Copy)]
pub struct LinkConditions {
    pub is_cut: bool,
    pub loss: f64,
    pub delay: Duration,
    pub jitter: Duration,
    pub duplication: f64,
}

pub const PERFECT_LINK: LinkConditions =
    LinkConditions { is_cut: false, loss: 0.0, delay: ms(1), jitter: ms(1), duplication: 0.0 };

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Delivery(usize, Vec<u8>),
    Wakeup(usize, u64),
}

pub struct SimulatedFleet {
    pub now: Duration,
    pub settings: Settings,
    pub members: Vec<Member>,
    pub nodes: Vec<Option<Membership>>,
    pub records: Vec<Vec<u8>>,
    pub link: Box<dyn Fn(usize, usize) -> LinkConditions>,
    pub events: Vec<(Duration, usize, Event)>,
    pub paused: BTreeMap<usize, Vec<Vec<u8>>>,
    /// The datagrams sent, as (from, to, bytes), or `None` if they are not captured.
    pub captured: Option<Vec<(usize, usize, Vec<u8>)>>,
    pub disk_full: bool,
    index_by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, Scheduled)>>,
    wakeup_numbers: Vec<u64>,
    last_scheduled: u64,
    pub rng: ChaCha8Rng,
}

pub fn secret(n: usize) -> Secret {
    let mut bytes = [7; 32];
    // Leaves the first byte unchanged, as X25519 ignores three of its bits.
    bytes[8..16].copy_from_slice(&(n as u64).to_le_bytes());
    Secret::new(bytes)
}

pub fn member(n: usize) -> Member {
    Member {
        name: format!("n{n}"),
        address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000)),
        zone: ["a", "b"][n % 2].to_owned(),
        key: secret(n).public_key(),
    }
}

impl SimulatedFleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        Self {
            now: Duration::ZERO,
            settings: SETTINGS,
            index_by_address: members.iter().enumerate().map(|(n, member)| (member.address, n)).collect(),
            members,
            nodes: (0..count).map(|_| None).collect(),
            records: vec![Vec::new(); count],
            link: Box::new(|_, _| PERFECT_LINK),
            events: Vec::new(),
            paused: BTreeMap::new(),
            captured: None,
            disk_full: false,
            queue: BinaryHeap::new(),
            wakeup_numbers: vec![0; count],
            last_scheduled: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Creates a fleet and starts all of its members.
    pub fn started(count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(count, seed);
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }

    pub fn roster(&self, n: usize) -> Roster {
        Roster::new(&self.members[n].name, self.members.iter().cloned()).unwrap()
    }

    /// Starts a member from its persisted record, or from an empty one if that cannot be used.
    pub fn start(&mut self, n: usize) {
        let id = MemberId::of(&self.members[n].name);
        let record = IncarnationRecord::parse(&self.records[n], id).unwrap_or(IncarnationRecord::new(id));
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        self.nodes[n] =
            Some(Membership::new(self.settings, secret(n), self.roster(n), record, rng, self.now));
        self.perform_outputs(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.paused.remove(&n);
    }

    pub fn pause(&mut self, n: usize) {
        self.paused.insert(n, Vec::new());
    }

    /// Resumes a paused member, which first receives the datagrams that have arrived in its socket buffer.
    pub fn resume(&mut self, n: usize) {
        for bytes in self.paused.remove(&n).unwrap() {
            self.input(n, Input::Datagram(&bytes));
        }
        self.input(n, Input::Timer);
    }

    pub fn input(&mut self, n: usize, input: Input<'_>) {
        if let Some(node) = &mut self.nodes[n] {
            node.handle(input, self.now);
            self.perform_outputs(n);
        }
    }

    fn push(&mut self, at: Duration, scheduled: Scheduled) {
        self.last_scheduled += 1;
        self.queue.push(Reverse((at, self.last_scheduled, scheduled)));
    }

    pub fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn perform_outputs(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].as_mut().and_then(Membership::poll_output) {
            match output {
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    let Some(to) = self.index_by_address.get(&to).copied() else { continue };
                    if let Some(captured) = &mut self.captured {
                        captured.push((n, to, bytes.clone()));
                    }
                    let link = (self.link)(n, to);
                    for _ in 0..if self.random_unit() < link.duplication { 2 } else { 1 } {
                        if !link.is_cut && self.random_unit() >= link.loss {
                            let due = self.now + link.delay + link.jitter.mul_f64(self.random_unit());
                            self.push(due, Scheduled::Delivery(to, bytes.clone()));
                        }
                    }
                }
                Output::WriteRecord(bytes) => {
                    let is_written = !self.disk_full;
                    if is_written {
                        self.records[n] = bytes;
                    }
                    let input = if is_written { Input::RecordWritten } else { Input::RecordWriteFailed };
                    self.nodes[n].as_mut().unwrap().handle(input, self.now);
                }
                Output::Event(event) => self.events.push((self.now, n, event)),
            }
        }
        if let Some(due) = self.nodes[n].as_ref().and_then(Membership::due) {
            self.wakeup_numbers[n] += 1;
            self.push(due.max(self.now), Scheduled::Wakeup(n, self.wakeup_numbers[n]));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, scheduled))) = self.queue.pop() else { return };
            self.now = at;
            match scheduled {
                Scheduled::Delivery(n, bytes) => match self.paused.get_mut(&n) {
                    Some(socket) => socket.push(bytes),
                    None => self.input(n, Input::Datagram(&bytes)),
                },
                Scheduled::Wakeup(n, number)
                    if number == self.wakeup_numbers[n] && !self.paused.contains_key(&n) =>
                {
                    self.input(n, Input::Timer);
                }
                Scheduled::Wakeup(..) => {}
            }
        }
        self.now = end;
    }

    pub fn view(&self, n: usize) -> View {
        self.nodes[n].as_ref().unwrap().view(self.now)
    }

    pub fn view_of(&self, n: usize, other: usize) -> PeerView {
        let name = &self.members[other].name;
        self.view(n).peers.into_iter().find(|peer| peer.name == *name).unwrap()
    }

    pub fn status(&self, n: usize, other: usize) -> Status {
        self.view_of(n, other).status
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect()
    }

    /// Returns the wrong views as (observer, observed, status): running members that are not live, and
    /// stopped ones that are live or suspect.
    pub fn wrong_views(&self) -> Vec<(usize, usize, Status)> {
        let mut wrong = Vec::new();
        let numbers: BTreeMap<&str, usize> =
            self.members.iter().enumerate().map(|(n, member)| (&*member.name, n)).collect();
        for n in self.running() {
            for peer in self.view(n).peers {
                let Some(other) = numbers.get(&*peer.name).copied() else { continue };
                let is_absent = matches!(peer.status, Status::Dead | Status::Left | Status::Unknown);
                let is_correct =
                    if self.nodes[other].is_some() { peer.status == Status::Live } else { is_absent };
                if !is_correct {
                    wrong.push((n, other, peer.status));
                }
            }
        }
        wrong
    }

    /// Runs until no view is wrong, and returns how long that took, or `None` after `limit`.
    pub fn converge_within(&mut self, limit: Duration) -> Option<Duration> {
        let from = self.now;
        while self.now - from <= limit {
            if self.wrong_views().is_empty() {
                return Some(self.now - from);
            }
            self.run(ms(20));
        }
        None
    }

    /// Returns the deaths declared since `since`, as (time, declaring member, name of the dead one).
    pub fn deaths(&self, since: Duration) -> Vec<(Duration, usize, String)> {
        let dead =
            self.events.iter().filter(|(at, ..)| *at >= since).filter_map(|(at, by, event)| match event {
                Event::StatusChanged { name, current: Status::Dead, .. } => Some((*at, *by, name.clone())),
                _ => None,
            });
        dead.collect()
    }
}

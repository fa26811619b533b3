//! Many members in one simulated time: links that lose, delay, cut and repeat, processes that pause and start again.
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
    probe_every: ms(100),
    dead_after: ms(1000),
    ceiling: SendBudget { datagrams: 400.0, bytes: 100_000.0 },
};

/// What happens to a datagram on its way.
#[derive(Clone, Copy)]
pub struct Path {
    pub cut: bool,
    pub lose: f64,
    pub delay: Duration,
    pub jitter: Duration,
    pub twice: f64,
}

pub const CLEAN: Path = Path { cut: false, lose: 0.0, delay: ms(1), jitter: ms(1), twice: 0.0 };

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Comes(usize, Vec<u8>),
    Wakes(usize, u64),
}

pub struct World {
    pub now: Duration,
    pub settings: Settings,
    pub members: Vec<Member>,
    pub nodes: Vec<Option<Membership>>,
    pub books: Vec<Vec<u8>>,
    pub link: Box<dyn Fn(usize, usize) -> Path>,
    pub events: Vec<(Duration, usize, Event)>,
    pub paused: BTreeMap<usize, Vec<Vec<u8>>>,
    /// All that was sent, kept on demand.
    pub wire: Option<Vec<(usize, usize, Vec<u8>)>>,
    pub disk_full: bool,
    at: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, What)>>,
    wakes: Vec<u64>,
    count: u64,
    pub chance: ChaCha8Rng,
}

pub fn secret(n: usize) -> Secret {
    let mut bytes = [7; 32];
    // Not the first byte: X25519 leaves three of its bits out.
    bytes[8..16].copy_from_slice(&(n as u64).to_le_bytes());
    Secret::new(bytes)
}

pub fn member(n: usize) -> Member {
    Member {
        name: format!("n{n}"),
        address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000)),
        building: ["a", "b"][n % 2].to_owned(),
        key: secret(n).public(),
    }
}

impl World {
    pub fn new(count: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        Self {
            now: Duration::ZERO,
            settings: SETTINGS,
            at: members.iter().enumerate().map(|(n, member)| (member.address, n)).collect(),
            members,
            nodes: (0..count).map(|_| None).collect(),
            books: vec![Vec::new(); count],
            link: Box::new(|_, _| CLEAN),
            events: Vec::new(),
            paused: BTreeMap::new(),
            wire: None,
            disk_full: false,
            queue: BinaryHeap::new(),
            wakes: vec![0; count],
            count: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// All started, and known to each other.
    pub fn started(count: usize, seed: u64) -> Self {
        let mut world = Self::new(count, seed);
        (0..count).for_each(|n| world.start(n));
        world
    }

    pub fn roster(&self, n: usize) -> Roster {
        Roster::new(&self.members[n].name, self.members.iter().cloned()).unwrap()
    }

    /// Starts one from its book; from none if that is damaged.
    pub fn start(&mut self, n: usize) {
        let id = MemberId::of(&self.members[n].name);
        let book = IncarnationRecord::parse(&self.books[n], id).unwrap_or(IncarnationRecord::new(id));
        let chance = ChaCha8Rng::seed_from_u64(self.chance.next_u64());
        self.nodes[n] =
            Some(Membership::new(self.settings, secret(n), self.roster(n), book, chance, self.now));
        self.drain(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.paused.remove(&n);
    }

    pub fn pause(&mut self, n: usize) {
        self.paused.insert(n, Vec::new());
    }

    /// It goes on where it stood; what came meanwhile lay in its socket.
    pub fn resume(&mut self, n: usize) {
        for bytes in self.paused.remove(&n).unwrap() {
            self.input(n, Input::Datagram(&bytes));
        }
        self.input(n, Input::Timer);
    }

    pub fn input(&mut self, n: usize, input: Input<'_>) {
        if let Some(node) = &mut self.nodes[n] {
            node.handle(input, self.now);
            self.drain(n);
        }
    }

    fn push(&mut self, at: Duration, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, what)));
    }

    pub fn unit(&mut self) -> f64 {
        (self.chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn drain(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].as_mut().and_then(Membership::poll_output) {
            match output {
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= MOST_DATAGRAM);
                    let Some(to) = self.at.get(&to).copied() else { continue };
                    if let Some(wire) = &mut self.wire {
                        wire.push((n, to, bytes.clone()));
                    }
                    let link = (self.link)(n, to);
                    for _ in 0..if self.unit() < link.twice { 2 } else { 1 } {
                        if !link.cut && self.unit() >= link.lose {
                            let due = self.now + link.delay + link.jitter.mul_f64(self.unit());
                            self.push(due, What::Comes(to, bytes.clone()));
                        }
                    }
                }
                Output::Write(bytes) => {
                    let done = !self.disk_full;
                    if done {
                        self.books[n] = bytes;
                    }
                    self.nodes[n].as_mut().unwrap().handle(Input::Written(done), self.now);
                }
                Output::Event(event) => self.events.push((self.now, n, event)),
            }
        }
        if let Some(due) = self.nodes[n].as_ref().and_then(Membership::due) {
            self.wakes[n] += 1;
            self.push(due.max(self.now), What::Wakes(n, self.wakes[n]));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { return };
            self.now = at;
            match what {
                What::Comes(n, bytes) => match self.paused.get_mut(&n) {
                    Some(socket) => socket.push(bytes),
                    None => self.input(n, Input::Datagram(&bytes)),
                },
                What::Wakes(n, which) if which == self.wakes[n] && !self.paused.contains_key(&n) => {
                    self.input(n, Input::Timer);
                }
                What::Wakes(..) => {}
            }
        }
        self.now = end;
    }

    pub fn view(&self, n: usize) -> View {
        self.nodes[n].as_ref().unwrap().view(self.now)
    }

    pub fn sees(&self, n: usize, other: usize) -> PeerView {
        let name = &self.members[other].name;
        self.view(n).peers.into_iter().find(|peer| peer.name == *name).unwrap()
    }

    pub fn status(&self, n: usize, other: usize) -> Status {
        self.sees(n, other).status
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect()
    }

    /// Whom the views of those that run are wrong about: live ones that are not held for live, gone ones that are.
    pub fn wrong(&self) -> Vec<(usize, usize, Status)> {
        let mut wrong = Vec::new();
        let numbers: BTreeMap<&str, usize> =
            self.members.iter().enumerate().map(|(n, member)| (&*member.name, n)).collect();
        for n in self.running() {
            for peer in self.view(n).peers {
                let Some(other) = numbers.get(&*peer.name).copied() else { continue };
                let gone = matches!(peer.status, Status::Dead | Status::Left | Status::Unknown);
                let right = if self.nodes[other].is_some() { peer.status == Status::Live } else { gone };
                if !right {
                    wrong.push((n, other, peer.status));
                }
            }
        }
        wrong
    }

    /// How long it takes until no view is wrong; none if that takes longer than `most`.
    pub fn agree_within(&mut self, most: Duration) -> Option<Duration> {
        let from = self.now;
        while self.now - from <= most {
            if self.wrong().is_empty() {
                return Some(self.now - from);
            }
            self.run(ms(20));
        }
        None
    }

    /// Members that were held for dead since then: when, by whom, of whom.
    pub fn deaths(&self, since: Duration) -> Vec<(Duration, usize, String)> {
        let dead =
            self.events.iter().filter(|(at, ..)| *at >= since).filter_map(|(at, by, event)| match event {
                Event::Changed { name, is: Status::Dead, .. } => Some((*at, *by, name.clone())),
                _ => None,
            });
        dead.collect()
    }
}

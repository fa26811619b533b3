//! What passes between senders, and what becomes of it: the faults of their links, the same in simulated time and live.
//! Free of I/O and clocks.
use crate::plan::{Plan, PlannedFault, SeededRng};
use crate::scenario::{FaultKind, Ways};
use micadrum_config::OperatorConfig;
use micadrum_membership::Secret;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use toml::{Table, Value};

/// Of the datagrams that a lossy link does not lose, so many come twice ...
const DUPLICATE_SHARE: f64 = 0.05;
/// ... and so many come late, by up to [`MAX_REORDER_DELAY`].
const REORDERED_SHARE: f64 = 0.1;
const MAX_REORDER_DELAY: Duration = Duration::from_millis(80);

/// The links between all senders.
pub struct LinkFaults {
    zones: Vec<usize>,
    zone_delay: Duration,
    active: Vec<PlannedFault>,
    random: SeededRng,
}

impl LinkFaults {
    /// Those of a plan, with nothing wrong.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        Self {
            zones: plan.senders.iter().map(|sender| sender.building).collect(),
            zone_delay: Duration::from_micros(plan.scenario.crossing.0),
            active: Vec::new(),
            random: SeededRng::new(plan.seed, "links of senders"),
        }
    }

    /// Those of so many senders in one building, with nothing wrong.
    #[must_use]
    pub fn calm(senders: usize) -> Self {
        let random = SeededRng::new(0, "links of senders");
        Self { zones: vec![0; senders], zone_delay: Duration::ZERO, active: Vec::new(), random }
    }

    /// A fault begins.
    pub fn begin_fault(&mut self, fault: &PlannedFault) {
        self.active.push(fault.clone());
    }

    /// It ends.
    pub fn end_fault(&mut self, fault: &PlannedFault) {
        if let Some(place) = self.active.iter().position(|struck| struck == fault) {
            self.active.remove(place);
        }
    }

    /// What becomes of bytes that are said on a link at a time, in microseconds, that was last broken then.
    pub fn fault_window(&self, from: u32, to: u32, now: u64, broken: &Cell<Option<u64>>) -> FaultWindow {
        let apart = self.zones[from as usize] != self.zones[to as usize];
        let mut delay = if apart { self.zone_delay } else { Duration::ZERO };
        for fault in &self.active {
            let [out, back] = [from, to].map(|sender| fault.senders.contains(&sender));
            match fault.kind {
                FaultKind::Cut if self.is_cut(fault, from, to) => return FaultWindow::Held,
                FaultKind::Slow if out || back => delay += Duration::from_micros(fault.delay.0),
                FaultKind::Break
                    if (out || back) && broken.get().is_none_or(|at| at + fault.every.0 <= now) =>
                {
                    broken.set(Some(now));
                    return FaultWindow::Breaks;
                }
                _ => {}
            }
        }
        FaultWindow::Delayed(delay)
    }

    /// Whether a cut keeps apart what `from` says and `to` would hear.
    fn is_cut(&self, fault: &PlannedFault, from: u32, to: u32) -> bool {
        let [out, back] = [from, to].map(|sender| fault.senders.contains(&sender));
        let other = if out { to } else { from };
        out != back
            && fault.between.as_ref().is_none_or(|between| between.contains(&other))
            && match fault.ways {
                Ways::Both => true,
                Ways::Out => out,
                Ways::In => back,
            }
    }

    /// When a datagram comes: not at all, once, or more often.
    pub fn datagram_delays(&mut self, from: u32, to: u32) -> Vec<Duration> {
        let apart = self.zones[from as usize] != self.zones[to as usize];
        let mut delay = if apart { self.zone_delay } else { Duration::ZERO };
        let mut times = 1;
        for fault in &self.active {
            let [out, back] = [from, to].map(|sender| fault.senders.contains(&sender));
            match fault.kind {
                FaultKind::Cut if self.is_cut(fault, from, to) => return Vec::new(),
                FaultKind::Slow if out || back => {
                    delay += Duration::from_micros(
                        fault.delay.0 + (self.random.unit() * fault.jitter.0 as f64) as u64,
                    );
                }
                FaultKind::Lose if out || back => {
                    if self.random.chance(fault.calls) {
                        return Vec::new();
                    }
                    if self.random.chance(DUPLICATE_SHARE) {
                        times = 2;
                    }
                    if self.random.chance(REORDERED_SHARE) {
                        delay += MAX_REORDER_DELAY.mul_f64(self.random.unit());
                    }
                }
                _ => {}
            }
        }
        vec![delay; times]
    }
}

/// What becomes of bytes on a link between two senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultWindow {
    /// They come after this.
    Delayed(Duration),
    /// They stay on the way: the link is open and silent.
    Held,
    /// Half of them come, and the link breaks.
    Breaks,
}

/// A sender as the operator's file names it.
pub struct Named {
    /// Its name.
    pub name: String,
    /// Where it is reached from the sender whose file this is.
    pub address: SocketAddr,
    /// Its building.
    pub building: String,
    /// Its secret.
    pub secret: [u8; 32],
}

/// The secret of a sender.
#[must_use]
pub fn secret(seed: u64, sender: u32) -> [u8; 32] {
    let mut random = SeededRng::new(seed, &format!("secret of sender {sender}"));
    let mut secret = [0; 32];
    for bytes in secret.chunks_mut(8) {
        bytes.copy_from_slice(&random.number().to_le_bytes());
    }
    secret
}

/// Digits of a key.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The operator's file of one sender, with its members filled in; with none, two that stand for them.
///
/// # Errors
/// What is wrong with the scenario's `[operator]`.
pub fn operator_file(table: &Table, members: &[Named]) -> Result<String, String> {
    let mut table = table.clone();
    let Some(peers) = table.get_mut("peers") else {
        let text = toml::to_string(&table).map_err(|e| e.to_string())?;
        return OperatorConfig::parse("", &text, "n0").map(|_| text).map_err(|e| e.message);
    };
    let Value::Table(peers) = peers else { return Err("`peers` is a table".to_owned()) };
    for filled in ["member", "secret", "listen"] {
        if peers.contains_key(filled) {
            return Err(format!("`{filled}` is filled in by the kit"));
        }
    }
    let stand_in = |n: u8| Named {
        name: format!("n{n}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + u16::from(n))),
        building: "a".to_owned(),
        secret: [n + 1; 32],
    };
    let checked = [stand_in(0), stand_in(1)];
    let named = if members.is_empty() { &checked } else { members };
    let member = |of: &Named| {
        let key = hex(&Secret::new(of.secret).public());
        let fields = [
            ("name", &of.name),
            ("address", &of.address.to_string()),
            ("building", &of.building),
            ("key", &key),
        ];
        Value::Table(
            fields.into_iter().map(|(field, text)| (field.to_owned(), Value::from(text.as_str()))).collect(),
        )
    };
    peers.insert("secret".to_owned(), Value::from("peers.secret"));
    peers.insert("member".to_owned(), Value::Array(named.iter().map(member).collect()));
    let text = toml::to_string(&table).map_err(|e| e.to_string())?;
    if members.is_empty() {
        OperatorConfig::parse("", &text, "n0").map_err(|e| e.message)?;
    }
    Ok(text)
}

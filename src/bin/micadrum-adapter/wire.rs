//! The wire's own shapes, as serde types.
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    pub sim_time: u64,
    pub serial: u64,
    pub senders: Vec<Group>,
}

#[derive(Deserialize)]
pub struct Group {
    pub sender: u64,
    pub input: Vec<Input>,
}

#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Input {
    Start {
        rng_seed: u64,
        profile_data: Box<Profile>,
    },
    Down {},
    Catalog {
        page: u64,
        entries: Vec<Row>,
    },
    Discovery {
        kind: ListKind,
        page: Option<u64>,
    },
    Ask {
        job: u32,
        realm: Option<Name>,
        subject: Option<String>,
        service: String,
        time_budget: u64,
        dest: u64,
    },
    Begun {},
    ReportBack {
        job: u32,
        #[serde(rename = "try")]
        attempt: u32,
        result: Status,
        lag: u64,
        last: bool,
        detail: Option<f64>,
        stats: Option<Vec<f64>>,
    },
    Vanished {
        job: u32,
    },
    Bell {},
    Checked {
        endpoint: String,
        result: Status,
    },
    PeerData {},
}

/// A tenant's name, or 0 where there are no tenants.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Name {
    Text(String),
    Number(u64),
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

#[derive(Deserialize)]
pub struct Row {
    pub readiness: Readiness,
    pub dest: u64,
    pub rack_zone: String,
    pub flavor: String,
    pub endpoint: String,
    pub power_hint: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    Active,
    Leaving,
    Left,
}

#[derive(Deserialize)]
pub struct Profile {
    pub azs: Vec<String>,
    pub zone: String,
    pub discovery: Mode,
    pub fleet_size: usize,
    pub kinds: Vec<String>,
    pub lanes: Vec<Lane>,
    pub limits: Limits,
    pub invariants: Invariants,
    pub specifics: Specifics,
    #[serde(default)]
    pub tenants: Vec<TenantRow>,
    pub over_share_worth: Option<f64>,
    pub period: u64,
    pub report: ReportRow,
    pub weights: String,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
pub struct Lane {
    pub name: String,
    pub aim: u64,
    pub hard_limit: u64,
    pub worth: f64,
    pub late_value: f64,
    pub repeat: RepeatWord,
    pub group: Option<String>,
    pub key_ttl: Option<u64>,
    pub fifo_by_key: Option<bool>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum RepeatWord {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
pub struct Limits {
    pub cancel: bool,
    pub connect_timeout: u64,
    pub max_attempts: u32,
    pub most_held: usize,
    pub probes: bool,
}

#[derive(Deserialize)]
pub struct Invariants {
    pub drain_grace: u64,
    pub cold_share: f64,
    pub ramp_time: u64,
    pub overload_factor: f64,
    pub fall: u64,
    pub order_settle: Option<u64>,
    pub must_ask_in: Option<u64>,
}

#[derive(Deserialize)]
pub struct Specifics {
    pub bundle_max: Option<Vec<usize>>,
    pub kind_apart: Option<Vec<bool>>,
    pub decay: Option<String>,
    pub max_calls: usize,
}

#[derive(Deserialize)]
pub struct TenantRow {
    pub name: String,
    pub allowance_per_s: f64,
}

#[derive(Deserialize)]
pub struct ReportRow {
    #[serde(default)]
    pub names: Vec<String>,
}

#[derive(Serialize)]
pub struct Reply {
    pub serial: u64,
    pub senders: Vec<Answer>,
}

#[derive(Serialize)]
pub struct Answer {
    pub sender: u64,
    #[serde(rename = "do")]
    pub actions: Vec<Output>,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Output {
    Forward {
        job: u32,
        endpoint: String,
        expire_at: u64,
    },
    StopAttempt {
        job: u32,
        #[serde(rename = "try")]
        attempt: u32,
    },
    Busy {
        job: u32,
    },
    Fail {
        job: u32,
    },
    WakeMe {
        #[serde(rename = "in")]
        after: u64,
        mark: &'static str,
    },
    Subscribe {
        on: bool,
    },
    ListAll {},
    CloseIdle {
        endpoint: String,
    },
    SoundOut {
        endpoint: String,
    },
    WriteLog {
        words: String,
    },
}

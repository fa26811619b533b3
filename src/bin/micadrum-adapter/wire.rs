//! Serde types of the simulator's protocol. Names are those of the protocol unless a serde attribute maps
//! them.
use micadrum::profile::Profile;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    pub sim_time: u64,
    pub serial: u64,
    pub senders: Vec<SenderInputs>,
}

#[derive(Deserialize)]
pub struct SenderInputs {
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
        entries: Vec<CatalogEntry>,
    },
    Discovery {
        kind: ListKind,
        page: Option<u64>,
    },
    Ask {
        job: u32,
        realm: Option<TenantName>,
        subject: Option<String>,
        service: String,
        time_budget: u64,
        dest: u64,
    },
    #[serde(rename = "begun")]
    Started {},
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

/// The name of a tenant, or 0 if there are no tenants.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantName {
    Text(String),
    Number(u64),
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    Patch,
    #[serde(rename = "whole")]
    Complete,
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
pub struct CatalogEntry {
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

#[derive(Serialize)]
pub struct Reply {
    pub serial: u64,
    pub senders: Vec<SenderActions>,
}

#[derive(Serialize)]
pub struct SenderActions {
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
        #[serde(rename = "words")]
        line: String,
    },
}

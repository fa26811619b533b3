//! The configuration of each sender, derived from the plan.
use super::senders::OperatorFile;
use super::{World, endpoints};
use crate::link_faults::{self, MemberEntry};
use crate::plan::{
    CONNECT_TIMEOUT, Class, DEADLINE_WORTH_SHARE, DEDUPLICATION_WINDOW, DRAIN_GRACE, INITIAL_CAPACITY_SHARE,
    LATENCY_OBJECTIVE, MAX_ATTEMPTS, MAX_POLL_INTERVAL, OVERLOAD_FACTOR, OVERLOAD_WINDOW,
    SLOW_START_DURATION, TENANTS,
};
use crate::scenario::Discovery;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The call slots of a sender, as a multiple of its average number of concurrent calls under full load.
const CALL_SLOT_FACTOR: f64 = 2.2;
const MIN_CALL_SLOTS: usize = 4;
/// The messages that a sender may have pending, in seconds of its share of the full load.
const PENDING_SECONDS: f64 = 8.0;
const MIN_PENDING_MESSAGES: usize = 12;
/// The quotas of all tenants together, as a multiple of the traffic.
const QUOTA_FACTOR: f64 = 1.2;

/// The limits of a sender, derived from the plan's load.
struct SenderCapacity {
    max_calls: usize,
    max_pending: usize,
}

impl World {
    /// Returns the configuration of a sender that accepts clients at `listen`, including the plan's
    /// deliberate errors.
    pub fn config(&self, sender: u32, listen: SocketAddr, seed: u64) -> Value {
        let plan = &self.plan;
        let agent = &self.agents[sender as usize];
        let mut config = json!({
            "name": plan.senders[sender as usize].name, "listen": listen.to_string(),
            "discovery": agent.address().to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": plan.scenario.disk_mb},
            "known": agent.snapshot(sender),
            "settings": self.settings(sender),
        });
        if let (Some(address), true) = (self.fleet.admin_address(), plan.scenario.operator.is_some()) {
            config["management"] = json!(address.to_string());
        }
        for config_override in &plan.config_overrides {
            if let Some(value) = config.pointer_mut(&config_override.pointer) {
                *value = config_override.value.clone();
            }
        }
        config
    }

    fn settings(&self, sender: u32) -> Value {
        let plan = &self.plan;
        let scenario = &plan.scenario;
        let zones = scenario.buildings.get_ref();
        let capacity = self.sender_capacity();
        let total_quota = scenario.traffic.0 * QUOTA_FACTOR;
        let tenant =
            |(name, share): &(&str, f64)| json!({"name": name, "allowance_per_s": total_quota * share});
        json!({
            "azs": zones, "zone": zones[plan.senders[sender as usize].building],
            "discovery": match scenario.discovery {
                Discovery::Pushed => "pushed",
                Discovery::OnRequest => "on_request",
            }, "fleet_size": plan.senders.len(), "kinds": ["bank", "fleet", "leasing"],
            "lanes": [class_settings(Class::Charge, "fragile"), class_settings(Class::TripRecord, "dedup")],
            "limits": {"cancel": true, "connect_timeout": CONNECT_TIMEOUT.0,
                "conn_idle": endpoints::IDLE_TIMEOUT_US, "max_attempts": MAX_ATTEMPTS,
                "most_held": capacity.max_pending, "probes": false},
            "invariants": {"drain_grace": DRAIN_GRACE.0, "cold_share": INITIAL_CAPACITY_SHARE, "ramp_time": SLOW_START_DURATION.0,
                "overload_factor": OVERLOAD_FACTOR, "fall": OVERLOAD_WINDOW.0, "order_settle": 0,
                "must_ask_in": MAX_POLL_INTERVAL.0},
            "specifics": {"bundle_max": [5, 1, 1], "kind_apart": [true, false, false], "decay": "even",
                "max_calls": capacity.max_calls},
            "tenants": TENANTS.iter().map(tenant).collect::<Vec<_>>(), "over_share_worth": 0.05,
            "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
        })
    }

    fn sender_capacity(&self) -> SenderCapacity {
        let plan = &self.plan;
        let senders = plan.senders.len() as f64;
        let total_capacity = plan.total_capacity();
        let mean_service_us: f64 = plan.destinations.iter().map(|p| p.share * p.mean_service_us).sum();
        let concurrent_calls = mean_service_us * total_capacity / 1e6;
        SenderCapacity {
            max_calls: ((concurrent_calls / senders * CALL_SLOT_FACTOR) as usize).max(MIN_CALL_SLOTS),
            max_pending: ((total_capacity / senders * PENDING_SECONDS) as usize).max(MIN_PENDING_MESSAGES),
        }
    }

    /// Returns the operator's file of a sender and the secret that it names, or `None` if the scenario has
    /// none.
    pub(super) fn operator_file(&self, sender: u32) -> Option<OperatorFile> {
        let plan = &self.plan;
        let table = plan.scenario.operator.as_ref()?.get_ref();
        let zones = plan.scenario.buildings.get_ref();
        let members = plan.senders.iter().map(|other| MemberEntry {
            name: other.name.clone(),
            address: self.fleet.peer_address(sender, other.number),
            zone: zones[other.building].clone(),
            secret: link_faults::secret(plan.seed, other.number),
        });
        // The operator's table was validated with the scenario, so this does not fail.
        let text = link_faults::operator_file(table, &members.collect::<Vec<_>>()).unwrap_or_default();
        Some(OperatorFile { text, secret: link_faults::secret(plan.seed, sender) })
    }
}

fn class_settings(class: Class, repeat: &str) -> Value {
    json!({"name": class.name(), "aim": LATENCY_OBJECTIVE.0, "hard_limit": class.deadline().0, "worth": 1.0,
        "late_value": DEADLINE_WORTH_SHARE, "repeat": repeat, "group": "all", "key_ttl": DEDUPLICATION_WINDOW.0,
        "fifo_by_key": class == Class::TripRecord})
}

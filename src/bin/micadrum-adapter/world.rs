//! All instances of one process, each with a sender and interning of its own.
use crate::wire::{self, Input, ListKind, Output, Readiness, Status};
use micadrum::profile::{Names, Profile, look_up};
use micadrum::*;
use std::collections::HashMap;

/// The process: instances by number and the catalog pages they refer to.
#[derive(Default)]
pub struct World {
    instances: HashMap<u64, Instance>,
    pages: HashMap<u64, Vec<wire::Row>>,
}

struct Instance {
    sender: DeliveryEngine,
    ordered: Vec<bool>,
    known: Names,
    endpoints: HashMap<String, EndpointId>,
    names: Vec<String>,
    left_at: Option<usize>,
    limit_at: Option<usize>,
}

fn outcome(status: Status, detail: Option<f64>) -> Outcome {
    match status {
        Status::Success => Outcome::Success,
        Status::Failure => Outcome::Failure,
        Status::Overloaded => {
            let wait = detail.filter(|ms| *ms > 0.0);
            Outcome::Rejected { retry_after: wait.map(|ms| TimeDelta((ms * 1000.0).ceil() as u64)) }
        }
        Status::TimedOut => Outcome::TimedOut,
        Status::Unreachable => Outcome::ConnectFailed,
        Status::Broken => Outcome::Reset,
        Status::Withdrawn => Outcome::Cancelled,
        Status::Void => Outcome::NotSent,
    }
}

impl Instance {
    fn new(seed: u64, p: &Profile) -> Result<Self, String> {
        let known = p.names();
        let settings = p.settings(&known)?;
        Ok(Self {
            ordered: settings.classes.iter().map(|c| c.ordered).collect(),
            sender: DeliveryEngine::new(settings, seed).map_err(|e| e.to_string())?,
            known,
            endpoints: HashMap::new(),
            names: Vec::new(),
            left_at: p.report_field("x0"),
            limit_at: p.report_field("x1"),
        })
    }

    fn entries(&mut self, rows: &[wire::Row]) -> Result<Vec<EndpointEntry>, String> {
        let mut list = Vec::with_capacity(rows.len());
        for row in rows {
            let endpoint = match self.endpoints.get(&row.endpoint) {
                Some(known) => *known,
                None => {
                    let new = EndpointId(self.names.len() as u32);
                    self.names.push(row.endpoint.clone());
                    self.endpoints.insert(row.endpoint.clone(), new);
                    new
                }
            };
            list.push(EndpointEntry {
                endpoint,
                destination: DestinationId(row.dest),
                kind: look_up(&self.known.kinds, &row.flavor, "kind")?,
                zone: look_up(&self.known.zones, &row.rack_zone, "zone")?,
                state: match row.readiness {
                    Readiness::Active => EndpointState::Active,
                    Readiness::Leaving => EndpointState::Draining,
                    Readiness::Left => EndpointState::Removed,
                },
                capacity_hint: row.power_hint.unwrap_or(0.0),
            });
        }
        Ok(list)
    }

    fn event(&mut self, input: Input, pages: &HashMap<u64, Vec<wire::Row>>) -> Result<Option<Event>, String> {
        Ok(Some(match input {
            Input::Discovery { kind: ListKind::Broken, .. } => Event::DiscoveryFailed,
            Input::Discovery { kind, page } => {
                let page = page.ok_or("discovery without a page")?;
                let rows = pages.get(&page).ok_or_else(|| format!("unknown catalog page {page}"))?;
                let list = self.entries(rows)?;
                match kind {
                    ListKind::Patch => Event::EndpointUpdates(list),
                    _ => Event::EndpointSnapshot(list),
                }
            }
            Input::Ask { job, realm, subject, service, time_budget, dest } => {
                let class = look_up(&self.known.classes, &service, "class")?;
                let tenant = match realm {
                    Some(wire::Name::Text(name)) => Some(look_up(&self.known.tenants, &name, "tenant")?),
                    Some(wire::Name::Number(0)) | None => None,
                    Some(wire::Name::Number(n)) => return Err(format!("unknown tenant {n}")),
                };
                let key = match subject.filter(|_| self.ordered[class.0]) {
                    Some(text) => {
                        let key = u64::from_str_radix(&text, 16).map_err(|_| format!("bad key {text:?}"))?;
                        Some(OrderKey(key))
                    }
                    None => None,
                };
                Event::Message(Message {
                    id: MessageId(job),
                    class,
                    tenant,
                    key,
                    destination: DestinationId(dest),
                    time_to_live: TimeDelta(time_budget),
                })
            }
            Input::ReportBack { job, attempt, result, lag, last, detail, stats } => {
                let value = |at: Option<usize>| at.and_then(|i| stats.as_ref()?.get(i)).copied();
                let report = match (value(self.left_at), value(self.limit_at)) {
                    (None, None) => None,
                    (left, limit) => Some(LoadReport {
                        remaining_share: left.unwrap_or(1.0),
                        limit_per_second: limit.unwrap_or(0.0),
                    }),
                };
                Event::AttemptEnded {
                    message: MessageId(job),
                    attempt,
                    outcome: outcome(result, detail),
                    elapsed: TimeDelta(lag),
                    completes: last,
                    report,
                }
            }
            Input::Vanished { job } => Event::Cancelled(MessageId(job)),
            Input::Bell {} => Event::TimerFired,
            Input::Checked { endpoint, result } => Event::HealthCheckEnded {
                endpoint: look_up(&self.endpoints, &endpoint, "endpoint")?,
                outcome: outcome(result, None),
            },
            _ => return Ok(None),
        }))
    }

    /// None for what the wire has no word for: names are never used again there.
    fn output(&self, action: Action) -> Option<Output> {
        let name = |endpoint: EndpointId| self.names[endpoint.0 as usize].clone();
        Some(match action {
            Action::ForgetEndpoint(_) => return None,
            Action::Send { message, endpoint, expires } => {
                Output::Forward { job: message.0, endpoint: name(endpoint), expire_at: expires.0 }
            }
            Action::Cancel { message, attempt } => Output::StopAttempt { job: message.0, attempt },
            Action::Return { message, .. } => Output::Busy { job: message.0 },
            Action::Fail(id) => Output::Fail { job: id.0 },
            Action::SetTimer(span) => Output::WakeMe { after: span.0, mark: "wake" },
            Action::WatchEndpoints => Output::Subscribe { on: true },
            Action::PollEndpoints => Output::ListAll {},
            Action::CheckHealth(endpoint) => Output::SoundOut { endpoint: name(endpoint) },
            Action::CloseIdleConnections(endpoint) => Output::CloseIdle { endpoint: name(endpoint) },
            Action::Log(words) => Output::WriteLog { words },
        })
    }
}

impl World {
    /// Takes in one batch and answers it.
    pub fn answer(&mut self, batch: wire::Batch) -> Result<wire::Reply, String> {
        let mut senders = Vec::new();
        for group in batch.senders {
            let mut events = Vec::new();
            for (place, input) in group.input.into_iter().enumerate() {
                let at = |e: String| format!("sender {}, input {place}: {e}", group.sender);
                match input {
                    Input::Catalog { page, entries } => {
                        self.pages.insert(page, entries);
                    }
                    Input::Down {} => {
                        self.instances.remove(&group.sender);
                        events.clear();
                    }
                    Input::Start { rng_seed, profile_data } => {
                        let new = Instance::new(rng_seed, &profile_data).map_err(at)?;
                        self.instances.insert(group.sender, new);
                        events.clear();
                    }
                    other => {
                        let instance = self.instances.get_mut(&group.sender);
                        let instance = instance.ok_or_else(|| at("unknown instance".into()))?;
                        events.extend(instance.event(other, &self.pages).map_err(at)?);
                    }
                }
            }
            let Some(instance) = self.instances.get_mut(&group.sender) else {
                continue;
            };
            let mut actions = Vec::new();
            instance.sender.step(Timestamp(batch.sim_time), &events, &mut actions);
            let actions: Vec<Output> = actions.into_iter().filter_map(|a| instance.output(a)).collect();
            if !actions.is_empty() {
                senders.push(wire::Answer { sender: group.sender, actions });
            }
        }
        Ok(wire::Reply { serial: batch.serial, senders })
    }
}

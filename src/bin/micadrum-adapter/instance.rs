//! A simulated sender: its engine, and the mapping between names on the wire and identifiers.
use crate::error::AdapterError;
use crate::wire::{self, Input, ListKind, Output, Readiness, Status};
use micadrum::profile::{Names, Profile, look_up};
use micadrum::*;
use std::collections::HashMap;

/// Lists of endpoints by catalog page number.
pub type CatalogPages = HashMap<u64, Vec<wire::CatalogEntry>>;

/// The load report field with the unused share of the limit.
const REMAINING_SHARE_FIELD: &str = "x0";
/// The load report field with the limit.
const LIMIT_FIELD: &str = "x1";

/// A simulated sender.
pub struct Instance {
    engine: DeliveryEngine,
    /// Whether messages are ordered, by class.
    ordered: Vec<bool>,
    names: Names,
    endpoint_ids: HashMap<String, EndpointId>,
    endpoint_names: Vec<String>,
    /// The indices of the fields in a load report; `None` if reports lack the field.
    remaining_share_at: Option<usize>,
    limit_at: Option<usize>,
}

fn outcome(status: Status, detail: Option<f64>) -> Outcome {
    match status {
        Status::Success => Outcome::Success,
        Status::Failure => Outcome::Failure,
        Status::Overloaded => Outcome::Rejected { retry_after: detail.and_then(retry_after) },
        Status::TimedOut => Outcome::TimedOut,
        Status::Unreachable => Outcome::ConnectFailed,
        Status::Broken => Outcome::Reset,
        Status::Withdrawn => Outcome::Cancelled,
        Status::Void => Outcome::NotSent,
    }
}

/// Converts the delay of a rejection from milliseconds; `None` if it isn't positive.
fn retry_after(millis: f64) -> Option<TimeDelta> {
    (millis > 0.0).then(|| TimeDelta((millis * 1000.0).ceil() as u64))
}

/// A message submitted by a client.
struct Submission {
    job: u32,
    realm: Option<wire::TenantName>,
    subject: Option<String>,
    service: String,
    time_budget: u64,
    dest: u64,
}

impl Instance {
    /// Creates a sender.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(seed: u64, profile: &Profile) -> Result<Self, AdapterError> {
        let names = profile.names();
        let settings = profile.settings(&names)?;
        Ok(Self {
            ordered: settings.classes.iter().map(|class| class.ordered).collect(),
            engine: DeliveryEngine::new(settings, seed)?,
            names,
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            remaining_share_at: profile.report_field(REMAINING_SHARE_FIELD),
            limit_at: profile.report_field(LIMIT_FIELD),
        })
    }

    /// Steps the engine and returns its actions, without those that the protocol doesn't have.
    pub fn step(&mut self, now: Timestamp, events: &[Event]) -> Vec<Output> {
        let mut actions = Vec::new();
        self.engine.step(now, events, &mut actions);
        actions.into_iter().filter_map(|action| self.output(action)).collect()
    }

    /// Converts an input to an event; returns `None` for inputs that the core doesn't use.
    ///
    /// # Errors
    /// Returns an error for an unknown name, page or tenant, or an invalid ordering key.
    pub fn event(&mut self, input: Input, pages: &CatalogPages) -> Result<Option<Event>, AdapterError> {
        Ok(Some(match input {
            Input::Discovery { kind: ListKind::Broken, .. } => Event::DiscoveryFailed,
            Input::Discovery { kind, page } => {
                let page = page.ok_or(AdapterError::MissingPage)?;
                let entries = self.entries(pages.get(&page).ok_or(AdapterError::UnknownPage(page))?)?;
                match kind {
                    ListKind::Patch => Event::EndpointUpdates(entries),
                    _ => Event::EndpointSnapshot(entries),
                }
            }
            Input::Ask { job, realm, subject, service, time_budget, dest } => {
                let submission = Submission { job, realm, subject, service, time_budget, dest };
                Event::Message(self.message(submission)?)
            }
            Input::ReportBack { job, attempt, result, lag, last, detail, stats } => Event::AttemptEnded {
                message: MessageId(job),
                attempt,
                outcome: outcome(result, detail),
                elapsed: TimeDelta(lag),
                completes: last,
                report: stats.and_then(|fields| self.load_report(&fields)),
            },
            Input::Vanished { job } => Event::Cancelled(MessageId(job)),
            Input::Bell {} => Event::TimerFired,
            Input::Checked { endpoint, result } => Event::HealthCheckEnded {
                endpoint: look_up(&self.endpoint_ids, &endpoint, "endpoint")?,
                outcome: outcome(result, None),
            },
            _ => return Ok(None),
        }))
    }

    fn entries(
        &mut self,
        catalog_entries: &[wire::CatalogEntry],
    ) -> Result<Vec<EndpointEntry>, AdapterError> {
        catalog_entries.iter().map(|catalog_entry| self.entry(catalog_entry)).collect()
    }

    fn entry(&mut self, catalog_entry: &wire::CatalogEntry) -> Result<EndpointEntry, AdapterError> {
        Ok(EndpointEntry {
            endpoint: self.endpoint_id(&catalog_entry.endpoint),
            destination: DestinationId(catalog_entry.dest),
            kind: look_up(&self.names.kinds, &catalog_entry.flavor, "kind")?,
            zone: look_up(&self.names.zones, &catalog_entry.rack_zone, "zone")?,
            state: match catalog_entry.readiness {
                Readiness::Active => EndpointState::Active,
                Readiness::Leaving => EndpointState::Draining,
                Readiness::Left => EndpointState::Removed,
            },
            capacity_hint: catalog_entry.power_hint.unwrap_or(0.0),
        })
    }

    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(known) = self.endpoint_ids.get(name) {
            return *known;
        }
        let new = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_owned());
        self.endpoint_ids.insert(name.to_owned(), new);
        new
    }

    fn message(&self, submission: Submission) -> Result<Message, AdapterError> {
        let class = look_up(&self.names.classes, &submission.service, "class")?;
        let tenant = match submission.realm {
            Some(wire::TenantName::Text(name)) => Some(look_up(&self.names.tenants, &name, "tenant")?),
            Some(wire::TenantName::Number(0)) | None => None,
            Some(wire::TenantName::Number(number)) => return Err(AdapterError::UnknownTenant(number)),
        };
        let subject = submission.subject.filter(|_| self.ordered[class.0]);
        let key = subject.map(|text| {
            u64::from_str_radix(&text, 16).map(OrderKey).map_err(|_| AdapterError::OrderKey(text))
        });
        Ok(Message {
            id: MessageId(submission.job),
            class,
            tenant,
            key: key.transpose()?,
            destination: DestinationId(submission.dest),
            time_to_live: TimeDelta(submission.time_budget),
        })
    }

    /// Reads a load report; returns `None` if it has neither of the two fields.
    fn load_report(&self, fields: &[f64]) -> Option<LoadReport> {
        let value = |position: Option<usize>| position.and_then(|at| fields.get(at)).copied();
        match (value(self.remaining_share_at), value(self.limit_at)) {
            (None, None) => None,
            (remaining, limit) => Some(LoadReport {
                remaining_share: remaining.unwrap_or(1.0),
                limit_per_second: limit.unwrap_or(0.0),
            }),
        }
    }

    /// Converts an action to its wire format; `None` for `ForgetEndpoint`, as the protocol never reuses
    /// names.
    fn output(&self, action: Action) -> Option<Output> {
        let name = |endpoint: EndpointId| self.endpoint_names[endpoint.0 as usize].clone();
        Some(match action {
            Action::ForgetEndpoint(_) => return None,
            Action::Send { message, endpoint, expires } => {
                Output::Forward { job: message.0, endpoint: name(endpoint), expire_at: expires.0 }
            }
            Action::Cancel { message, attempt } => Output::StopAttempt { job: message.0, attempt },
            Action::Return { message, .. } => Output::Busy { job: message.0 },
            Action::Fail(message) => Output::Fail { job: message.0 },
            Action::SetTimer(delay) => Output::WakeMe { after: delay.0, mark: "wake" },
            Action::WatchEndpoints => Output::Subscribe { on: true },
            Action::PollEndpoints => Output::ListAll {},
            Action::CheckHealth(endpoint) => Output::SoundOut { endpoint: name(endpoint) },
            Action::CloseIdleConnections(endpoint) => Output::CloseIdle { endpoint: name(endpoint) },
            Action::Log(line) => Output::WriteLog { line },
        })
    }
}

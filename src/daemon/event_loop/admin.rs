//! What operators ask: other settings, figures.
use super::endpoints::KnownEndpoint;
use super::{EventLoop, settings, terms};
use crate::daemon::class_registry::NamedClass;
use crate::daemon::config::Config;
use crate::daemon::endpoint_list::Phase;
use crate::daemon::maintenance::replace;
use crate::daemon::membership;
use crate::daemon::metrics::Metrics;
use crate::daemon::outbound_call::ReportFields;
use crate::daemon::ports::Storage;
use crate::profile::Profile;
use crate::{EndpointId, Event};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Classes that messages may be of, in the folder that lasts: the next process may be told of others.
pub(super) const CLASSES: &str = "classes.json";

pub(super) const NEW_CLASSES: &str = "classes.json.new";

/// A picture of the figures serves all who ask within this.
pub(super) const PICTURE: Duration = Duration::from_millis(100);

pub(super) fn written_classes(folder: &dyn Storage) -> Result<Vec<NamedClass>, String> {
    match folder.read(CLASSES).map_err(|e| e.to_string())? {
        Some(bytes) => serde_json::from_slice(&bytes).map_err(|e| e.to_string()),
        None => Ok(Vec::new()),
    }
}

/// How long an idle connection stays open at its endpoint, by the settings.
pub(super) fn idle_time(profile: &Profile) -> Duration {
    Duration::from_micros(profile.connection_idle().0)
}

/// What reports tell, by the settings.
pub(super) fn report_fields(profile: &Profile) -> ReportFields {
    let has = |name| profile.report_field(name).is_some();
    ReportFields { left: has("x0"), limit: has("x1") }
}

impl EventLoop {
    /// Takes a configuration over whole, or leaves all as it was.
    pub(super) fn reload(&mut self, config: &Config) -> Result<String, String> {
        if let Some(key) = config.lacks(&self.shape) {
            return Err(format!("{key} is missing"));
        }
        let (profile, names) = (&config.settings, config.settings.names());
        self.config.operator.check_reload(&config.operator).map_err(|e| e.to_string())?;
        let members = membership::Members::from_config(&config.operator).map_err(|e| e.to_string())?;
        if names.kinds != self.names.kinds || names.zones != self.names.zones {
            return Err("kinds and zones cannot change while a sender runs".to_owned());
        }
        let named = profile.classes()?;
        let mut classes = self.classes.clone();
        classes.change(named)?;
        let settings = settings(profile, &names, &classes)?;
        settings.check().map_err(|e| e.to_string())?;
        // Before a message of a class that is new can be handed in.
        if classes.named() != self.classes.named() {
            let written = replace(&*self.outside.ports.storage, CLASSES, NEW_CLASSES, &classes.named());
            written.map_err(|e| format!("writing {CLASSES}: {e}"))?;
        }
        if let (Some(peers), Some(members)) = (&self.peers, members) {
            let _ = peers.send(members);
        }
        let as_before = if self.platform.set(config.discovery) { "" } else { " as before" };
        (self.classes, self.names) = (classes, names);
        self.show_classes();
        self.pool.keep_for(idle_time(profile));
        self.outside.fields = report_fields(profile);
        if settings != self.settings {
            self.settings = settings.clone();
            self.terms.set(terms(&self.settings));
            self.pending.push((self.now(), Event::Settings(Box::new(settings))));
        }
        Ok(format!("discovery at {}{as_before}, {} classes", config.discovery, self.classes.names().count()))
    }

    /// Writes down what the classes mean, before anybody is served.
    pub(super) fn keep_classes(&mut self) {
        let storage = &*self.outside.ports.storage;
        if written_classes(storage).is_ok_and(|written| written == self.classes.named()) {
            return;
        }
        if let Err(e) = replace(storage, CLASSES, NEW_CLASSES, &self.classes.named()) {
            self.log(&format!(
                "writing {CLASSES}: {e}; a next process goes by what its settings say of a class"
            ));
        }
    }

    pub(super) fn show_classes(&mut self) {
        for class in self.classes.names() {
            self.figures.show(class);
        }
    }

    /// The figures as they are now, or were a moment ago.
    pub(super) fn picture(&mut self) -> Rc<Metrics> {
        let at = Instant::now();
        if let Some((taken, picture)) = &self.picture
            && at < *taken + PICTURE
        {
            return picture.clone();
        }
        let now = self.clock.at(at);
        let listed = self.endpoints.iter().filter(|(_, known)| known.member.phase != Phase::Deleted);
        let down =
            |(id, known): &(&EndpointId, &KnownEndpoint)| !known.serving || self.sender.avoids(now, **id);
        let picture = Rc::new(Metrics {
            backend_calls: self.outside.written.load(Ordering::Relaxed),
            inflight: self.numbers.len() - self.unnoticed,
            hosts_listed: listed.clone().count(),
            hosts_down: listed.filter(down).count(),
            ..self.figures.clone()
        });
        self.picture = Some((at, picture.clone()));
        picture
    }
}

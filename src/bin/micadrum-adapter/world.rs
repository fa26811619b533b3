//! The simulated fleet: all senders of one process, and the catalog pages that they refer to.
use crate::error::AdapterError;
use crate::instance::{CatalogPages, Instance};
use crate::wire::{self, Input, Output};
use micadrum::{Event, Timestamp};
use std::collections::HashMap;

/// All senders, by their numbers on the wire.
#[derive(Default)]
pub struct World {
    instances: HashMap<u64, Instance>,
    pages: CatalogPages,
}

impl World {
    /// Takes in one batch and answers it.
    ///
    /// # Errors
    /// The first input that cannot be understood.
    pub fn answer(&mut self, batch: wire::Batch) -> Result<wire::Reply, AdapterError> {
        let now = Timestamp(batch.sim_time);
        let mut senders = Vec::new();
        for group in batch.senders {
            let sender = group.sender;
            let events = self.events(group)?;
            let Some(instance) = self.instances.get_mut(&sender) else { continue };
            let actions: Vec<Output> = instance.step(now, &events);
            if !actions.is_empty() {
                senders.push(wire::Answer { sender, actions });
            }
        }
        Ok(wire::Reply { serial: batch.serial, senders })
    }

    /// Applies the inputs of one sender; returns the events for its engine.
    fn events(&mut self, group: wire::Group) -> Result<Vec<Event>, AdapterError> {
        let sender = group.sender;
        let mut events = Vec::new();
        for (position, input) in group.input.into_iter().enumerate() {
            let applied = self.apply(sender, input, &mut events);
            applied.map_err(|source| AdapterError::Input { sender, position, source: Box::new(source) })?;
        }
        Ok(events)
    }

    fn apply(&mut self, sender: u64, input: Input, events: &mut Vec<Event>) -> Result<(), AdapterError> {
        match input {
            Input::Catalog { page, entries } => {
                self.pages.insert(page, entries);
            }
            Input::Down {} => {
                self.instances.remove(&sender);
                events.clear();
            }
            Input::Start { rng_seed, profile_data } => {
                self.instances.insert(sender, Instance::new(rng_seed, &profile_data)?);
                events.clear();
            }
            other => {
                let instance = self.instances.get_mut(&sender).ok_or(AdapterError::UnknownSender)?;
                events.extend(instance.event(other, &self.pages)?);
            }
        }
        Ok(())
    }
}

//! The simulated senders of this process, and the catalog pages that they share.
use crate::error::AdapterError;
use crate::instance::{CatalogPages, Instance};
use crate::wire::{self, Input, Output};
use micadrum::{Event, Timestamp};
use std::collections::HashMap;

/// The state of the simulation: senders by their numbers on the wire, and catalog pages.
#[derive(Default)]
pub struct World {
    instances: HashMap<u64, Instance>,
    pages: CatalogPages,
}

impl World {
    /// Applies a batch of inputs, steps the senders that it names, and returns their actions.
    ///
    /// # Errors
    /// Returns an error for the first invalid input.
    pub fn answer(&mut self, batch: wire::Batch) -> Result<wire::Reply, AdapterError> {
        let now = Timestamp(batch.sim_time);
        let mut senders = Vec::new();
        for group in batch.senders {
            let sender = group.sender;
            let events = self.events(group)?;
            let Some(instance) = self.instances.get_mut(&sender) else { continue };
            let actions: Vec<Output> = instance.step(now, &events);
            if !actions.is_empty() {
                senders.push(wire::SenderActions { sender, actions });
            }
        }
        Ok(wire::Reply { serial: batch.serial, senders })
    }

    /// Applies the inputs of a sender and returns the events for its engine.
    fn events(&mut self, group: wire::SenderInputs) -> Result<Vec<Event>, AdapterError> {
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

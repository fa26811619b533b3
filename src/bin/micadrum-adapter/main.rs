//! `micadrum-adapter` connects the decision core to the simulator's protocol, which is JSON lines on standard
//! input and output. It runs a [`micadrum::DeliveryEngine`] for each sender that the simulator starts.
mod error;
mod instance;
mod wire;
mod world;

use error::AdapterError;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Answers each line of standard input until end of file or until standard output is closed.
fn run() -> Result<(), AdapterError> {
    let mut world = world::World::default();
    let mut output = std::io::stdout().lock();
    let mut input = std::io::stdin().lock();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Read)? == 0 {
            return Ok(());
        }
        number += 1;
        let reply = answer(&mut world, &line)
            .map_err(|source| AdapterError::Line { number, source: Box::new(source) })?;
        let mut text = serde_json::to_vec(&reply).map_err(AdapterError::Write)?;
        text.push(b'\n');
        if output.write_all(&text).and_then(|()| output.flush()).is_err() {
            return Ok(()); // the reader closed standard output
        }
    }
}

fn answer(world: &mut world::World, line: &[u8]) -> Result<wire::Reply, AdapterError> {
    let batch = serde_json::from_slice(line).map_err(AdapterError::Json)?;
    world.answer(batch)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("micadrum-adapter: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

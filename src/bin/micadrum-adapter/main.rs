//! Adapter: speaks the simulator's wire on standard input and output, one `Sender` per instance.
mod wire;
mod world;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut world = world::World::default();
    let mut out = std::io::stdout().lock();
    let mut input = std::io::stdin().lock();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("reading standard input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        number += 1;
        let reply = serde_json::from_slice::<wire::Batch>(&line)
            .map_err(|e| e.to_string())
            .and_then(|batch| world.answer(batch))
            .map_err(|e| format!("line {number}: {e}"))?;
        let mut text = serde_json::to_vec(&reply).map_err(|e| format!("writing a reply: {e}"))?;
        text.push(b'\n');
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return Ok(()); // the reader has gone: nothing is left to answer
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("micadrum-adapter: {}", what.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

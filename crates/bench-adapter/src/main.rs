//! `leverpoint-bench-adapter`: runs instances of the decision module for the bench.
//!
//! It reads batches of events from standard input, and writes one reply of actions for each to standard output.

mod instance;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use instance::Instance;
use wire::{AdapterError, Batch, EndpointLists, Event, Reply};

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    panic::set_hook(Box::new(|_| {}));
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leverpoint-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch until the input ends. A panic of the decision module is reported in the reply and is an error.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut lists = EndpointLists::default();
    let mut batch = Batch::default();
    let mut reply = Reply::default();
    while batch.read(input)? {
        reply.start(batch.number);
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| {
            process_batch(&batch, &mut instances, &mut lists, &mut reply)
        }));
        match outcome {
            Ok(done) => done?,
            Err(panic_text) => {
                let panic_text = panic_text
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| panic_text.downcast_ref::<&str>().copied())
                    .unwrap_or("unknown panic");
                reply.start(batch.number);
                reply.fatal(panic_text);
                reply.write(output)?;
                return Err(AdapterError::new(format!(
                    "decision module panicked: {panic_text}"
                )));
            }
        }
        reply.write(output)?;
    }
    Ok(())
}

/// Passes the events of one batch to their instances, in order, and collects the actions.
fn process_batch(
    batch: &Batch,
    instances: &mut BTreeMap<u32, Instance>,
    lists: &mut EndpointLists,
    reply: &mut Reply,
) -> Result<(), AdapterError> {
    let mut selected = None;
    let mut events = batch.events();
    while let Some(event) = events.next()? {
        let offset = events.offset();
        match event {
            Event::Select(number) => selected = Some(number),
            Event::List { list, entries } => lists[list] = Some(entries),
            Event::Open { seed, settings } => {
                let number = require_selected(selected, offset)?;
                let instance = Instance::open(seed, settings)
                    .map_err(|e| AdapterError::new(format!("instance {number}: {e}")))?;
                instances.insert(number, instance);
            }
            Event::Stop => {
                instances.remove(&require_selected(selected, offset)?);
            }
            event => {
                let number = require_selected(selected, offset)?;
                if let Some(instance) = instances.get_mut(&number) {
                    reply.select(number);
                    instance
                        .handle_event(batch.now_ms, event, lists, reply)
                        .map_err(|e| e.with_location(batch.number, offset))?;
                }
            }
        }
    }
    Ok(())
}

fn require_selected(selected: Option<u32>, offset: usize) -> Result<u32, AdapterError> {
    selected.ok_or_else(|| {
        AdapterError::new(format!(
            "event at byte {offset} before any instance is selected"
        ))
    })
}

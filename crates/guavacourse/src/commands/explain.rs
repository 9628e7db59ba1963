//! `guavacourse explain`: shows the trace of one request.

use std::fmt::Write as _;

use bpaf::Bpaf;
use serde_json::Value;

use super::{
    Exit,
    failure::Failure,
    fleet::{Fleet, fleet, get},
    output::Output,
};

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    #[bpaf(external)]
    fleet: Fleet,
    /// The answer's header `request-id`
    #[bpaf(positional("REQUEST-ID"))]
    request: String,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    smol::block_on(explain(args))
}

async fn explain(args: &Args) -> Result<Output, Failure> {
    let path = format!("/explain/{}", args.request);
    for entry in args.fleet.entries().await?.keys() {
        if let Some(trace) = get::<Value>(*entry, &path).await {
            return Ok(Output::new(Exit::Done, render(&trace), &trace));
        }
    }
    Err(Failure::NoRequest(args.request.clone()))
}

/// Formats a trace as lines: first the fields of the request, then each attempt.
fn render(trace: &Value) -> String {
    let mut text = String::new();
    let fields = trace.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(_, value)| !value.is_array()) {
        let _ = writeln!(text, "{name}: {}", unquoted(value));
    }
    for attempt in trace["attempts"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "- {}", attempt_line(attempt));
    }
    text
}

fn attempt_line(attempt: &Value) -> String {
    let fields = attempt.as_object().into_iter().flatten();
    let pairs = fields.map(|(name, value)| format!("{name} {}", unquoted(value)));
    pairs.collect::<Vec<_>>().join(", ")
}

/// Formats a JSON value; a string is not quoted.
fn unquoted(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

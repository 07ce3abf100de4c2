//! The operators' commands.

use crate::client::{Answer, Client};
use crate::explain::{self, Explanation};
use cardamomslip::Settings;
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::{Value, json};
use std::path::Path;

/// Digits of the id of a job on the users' platform.
const JOB_ID_DIGITS: usize = 16;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// The daemon refused, or the job failed.
    Refused,
    /// Another change came first.
    Conflict,
    /// No daemon answered.
    Unreachable,
    /// The command line is wrong.
    Usage,
}

impl Exit {
    /// Returns the exit code of the program.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
        }
    }
}

/// Options of a command.
#[derive(Clone, Debug, Default)]
pub struct CommandOptions {
    /// Print JSON.
    pub json: bool,
    /// Version that a change is based on.
    pub base: Option<u64>,
    /// Reason of a change.
    pub why: Option<String>,
    /// Idempotency key of a submission.
    pub key: Option<String>,
    /// Wait for the answer, in milliseconds.
    pub wait_ms: u64,
}

/// Runs the command that `words` name.
///
/// # Errors
///
/// Returns an error if no daemon answers, a file can't be read, or the words are no command.
pub fn run(client: &Client, words: &[&str], opts: &CommandOptions) -> Result<Exit> {
    match words {
        ["check", file] => check(file),
        ["explain", id, files @ ..] if !files.is_empty() => explain(id, files),
        ["status"] => show(&client.get("/v1/operator/status")?, opts),
        ["preset", "list"] => preset_list(client, opts),
        ["preset", "show"] => preset_show(client, None, opts),
        ["preset", "show", name] => preset_show(client, Some(name), opts),
        ["preset", "apply", name] => preset_apply(client, name, opts),
        ["config", "get"] => show(&client.get("/v1/operator/config")?, opts),
        ["config", "apply", file] => config_apply(client, file, opts),
        ["config", "history"] => config_history(client, opts),
        ["audit"] => show_changes(&client.get("/v1/operator/audit")?, opts),
        ["usage"] => usage(client, opts),
        ["drain", vm] => show(
            &client.post("/v1/operator/drain", &json!({"vm": vm}), None)?,
            opts,
        ),
        ["job", "submit", file] => job_submit(client, file, opts),
        ["job", "get", id] => show(
            &client.get(&format!("/v1/jobs/{id}?wait_ms={}", opts.wait_ms))?,
            opts,
        ),
        ["job", "cancel", id] => show(
            &client.delete(&format!("/v1/jobs/{id}?wait_ms={}", opts.wait_ms))?,
            opts,
        ),
        _ => bail!("no such command: `{}`", words.join(" ")),
    }
}

/// Tells what became of a job, from saved logs.
fn explain(id: &str, files: &[&str]) -> Result<Exit> {
    let id = id.to_ascii_lowercase();
    if id.len() != JOB_ID_DIGITS || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        bail!("`{id}` is no job id: {JOB_ID_DIGITS} hexadecimal digits");
    }
    let Some(explanation) = Explanation::find(&id, &explain::read_logs(files)?) else {
        eprintln!("no line mentions {id}");
        return Ok(Exit::Refused);
    };
    print!("{explanation}");
    Ok(Exit::Success)
}

/// Tells how the answer of a daemon ends the program.
fn exit_of(answer: &Answer) -> Exit {
    match answer.status {
        409 => Exit::Conflict,
        _ if !answer.is_success() => Exit::Refused,
        _ if answer.body["status"] == "failed" => Exit::Refused,
        _ => Exit::Success,
    }
}

fn show(answer: &Answer, opts: &CommandOptions) -> Result<Exit> {
    if !answer.is_success() && !opts.json {
        eprintln!("{}", describe_problem(&answer.body));
        return Ok(exit_of(answer));
    }
    print_value(&answer.body, opts)?;
    Ok(exit_of(answer))
}

fn describe_problem(body: &Value) -> String {
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
    let detail = text("detail");
    let separator = if detail.is_empty() { "" } else { ": " };
    format!(
        "refused: {}{separator}{detail} (ran: {})",
        text("title"),
        text("ran")
    )
}

fn print_value(body: &Value, opts: &CommandOptions) -> Result<()> {
    if opts.json {
        println!("{}", serde_json::to_string(body)?);
    } else {
        println!("{}", serde_json::to_string_pretty(body)?);
    }
    Ok(())
}

fn check(file: &str) -> Result<Exit> {
    match Settings::load(Path::new(file)) {
        Ok(_) => {
            println!("{file}: valid");
            Ok(Exit::Success)
        }
        Err(e) => {
            eprintln!("{e}");
            Ok(Exit::Refused)
        }
    }
}

fn preset_list(client: &Client, opts: &CommandOptions) -> Result<Exit> {
    let answer = client.get("/v1/operator/config")?;
    if !answer.is_success() || opts.json {
        let body = answer.body["presets"].clone();
        return show(&Answer { body, ..answer }, opts);
    }
    for preset in answer.body["presets"].as_array().into_iter().flatten() {
        let in_force = preset["name"] == answer.body["preset"];
        let mark = if in_force { "*" } else { " " };
        println!("{mark} {}", preset["name"].as_str().unwrap_or_default());
    }
    Ok(Exit::Success)
}

fn preset_show(client: &Client, name: Option<&str>, opts: &CommandOptions) -> Result<Exit> {
    let answer = client.get("/v1/operator/config")?;
    if !answer.is_success() {
        return show(&answer, opts);
    }
    let name = name.or(answer.body["preset"].as_str()).unwrap_or_default();
    let presets = answer.body["presets"].as_array().into_iter().flatten();
    let found = presets.into_iter().find(|preset| preset["name"] == name);
    let Some(preset) = found else {
        eprintln!("no preset is named `{name}`");
        return Ok(Exit::Refused);
    };
    print_value(preset, opts)?;
    Ok(Exit::Success)
}

/// Returns the version that a change is based on: the one given, or the one in force now.
fn base(client: &Client, opts: &CommandOptions) -> Result<u64> {
    if let Some(base) = opts.base {
        return Ok(base);
    }
    let answer = client.get("/v1/operator/config")?;
    Ok(if answer.is_success() {
        answer.body["version"].as_u64().unwrap_or(0)
    } else {
        0
    })
}

fn why(opts: &CommandOptions) -> Result<&str> {
    opts.why
        .as_deref()
        .ok_or_else(|| eyre!("--why is missing: a change needs a reason"))
}

fn preset_apply(client: &Client, name: &str, opts: &CommandOptions) -> Result<Exit> {
    let body = json!({"base": base(client, opts)?, "why": why(opts)?, "name": name});
    let answer = client.post("/v1/operator/preset", &body, None)?;
    if answer.is_success() && !opts.json {
        println!("version {}: preset {name} in force", answer.body["version"]);
        return Ok(Exit::Success);
    }
    show(&answer, opts)
}

fn read_json(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {file}"))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{file} is not JSON"))
}

fn config_apply(client: &Client, file: &str, opts: &CommandOptions) -> Result<Exit> {
    let config = read_json(file)?;
    let body = json!({
        "base": base(client, opts)?,
        "why": why(opts)?,
        "preset": config["preset"],
        "presets": config["presets"],
        "customers": config["customers"],
    });
    let answer = client.put("/v1/operator/config", &body)?;
    if answer.is_success() && !opts.json {
        println!("version {} in force", answer.body["version"]);
        return Ok(Exit::Success);
    }
    show(&answer, opts)
}

fn config_history(client: &Client, opts: &CommandOptions) -> Result<Exit> {
    let answer = client.get("/v1/operator/config")?;
    if !answer.is_success() {
        return show(&answer, opts);
    }
    let body = answer.body["history"].clone();
    show_changes(&Answer { body, ..answer }, opts)
}

fn show_changes(answer: &Answer, opts: &CommandOptions) -> Result<Exit> {
    if !answer.is_success() || opts.json {
        return show(answer, opts);
    }
    for change in answer.body.as_array().into_iter().flatten() {
        let text = |field: &str| change[field].as_str().unwrap_or_default().to_owned();
        println!(
            "{}\t{}\t{}\t{}\t{}\t{}",
            change["version"],
            change["when_ms"],
            text("who"),
            text("what"),
            text("why"),
            text("change_id")
        );
    }
    Ok(Exit::Success)
}

fn usage(client: &Client, opts: &CommandOptions) -> Result<Exit> {
    let answer = client.get("/v1/operator/usage")?;
    if !answer.is_success() || opts.json {
        return show(&answer, opts);
    }
    println!("customer\tsettled_us\tunsettled_us\ttasks");
    for line in answer.body["customers"].as_array().into_iter().flatten() {
        let name = line["customer"].as_str().unwrap_or_default();
        println!(
            "{name}\t{}\t{}\t{}",
            line["settled_us"], line["unsettled_us"], line["tasks"]
        );
    }
    println!(
        "reports: {} open, {} closed",
        answer.body["open_incarnations"], answer.body["closed_incarnations"]
    );
    Ok(Exit::Success)
}

fn job_submit(client: &Client, file: &str, opts: &CommandOptions) -> Result<Exit> {
    let job = read_json(file)?;
    let wait = opts.wait_ms;
    if let Some(key) = &opts.key {
        let path = format!("/v1/jobs?wait_ms={wait}");
        return show(&client.post(&path, &job, Some(key))?, opts);
    }
    let ids = client.post("/v1/jobs", &json!({"count": 1}), None)?;
    let Some(id) = ids.body["ids"][0].as_str().filter(|_| ids.is_success()) else {
        return show(&ids, opts);
    };
    show(
        &client.put(&format!("/v1/jobs/{id}?wait_ms={wait}"), &job)?,
        opts,
    )
}

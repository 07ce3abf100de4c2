//! Commands of the operators' command line.

use crate::client::{Client, Response};
use crate::explain::{self, Explanation};
use cardamomslip::Settings;
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::{Value, json};
use std::path::Path;

/// Length of a job id on the users' platform, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

/// Result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The daemon refused the request, the job failed, or the named item does not exist.
    Refused,
    /// The configuration changed since the version that the change is based on.
    Conflict,
    /// The daemon did not respond.
    Unreachable,
    /// The command line is invalid.
    Usage,
}

impl Exit {
    /// Returns the exit code of the process.
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

/// Options that a command may use.
#[derive(Clone, Debug, Default)]
pub struct CommandOptions {
    /// Print the response as compact JSON.
    pub json: bool,
    /// Version that a change is based on; by default the active one.
    pub base: Option<u64>,
    /// Reason for a change; every change needs one.
    pub why: Option<String>,
    /// Idempotency key under which a job is submitted.
    pub key: Option<String>,
    /// Time for which the daemon waits for the job to end, in milliseconds.
    pub wait_ms: u64,
}

/// Runs the command given by `words`.
///
/// # Errors
///
/// Returns an error if the daemon does not respond, a file can't be read, a required option is
/// missing, or there is no such command.
pub fn run(client: &Client, words: &[&str], opts: &CommandOptions) -> Result<Exit> {
    match words {
        ["check", file] => check(file),
        ["explain", id, files @ ..] if !files.is_empty() => explain(id, files),
        ["status"] => show(&client.get("/v1/operator/status")?, opts),
        ["evacuations"] => show(&client.get("/evacuations")?, opts),
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

/// Prints the explanation of a job's outcome from saved logs.
fn explain(id: &str, files: &[&str]) -> Result<Exit> {
    let id = id.to_ascii_lowercase();
    if id.len() != JOB_ID_DIGITS || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        bail!("`{id}` is not a job id: expected {JOB_ID_DIGITS} hexadecimal digits");
    }
    let Some(explanation) = Explanation::find(&id, &explain::read_logs(files)?) else {
        eprintln!("no log line mentions {id}");
        return Ok(Exit::Refused);
    };
    print!("{explanation}");
    Ok(Exit::Success)
}

/// Returns the result of a command to which the daemon responded with `response`.
fn exit_for(response: &Response) -> Exit {
    match response.status {
        409 => Exit::Conflict,
        _ if !response.is_success() => Exit::Refused,
        _ if response.body["status"] == "failed" => Exit::Refused,
        _ => Exit::Success,
    }
}

fn show(response: &Response, opts: &CommandOptions) -> Result<Exit> {
    if !response.is_success() && !opts.json {
        eprintln!("{}", describe_problem(&response.body));
        return Ok(exit_for(response));
    }
    print_value(&response.body, opts)?;
    Ok(exit_for(response))
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
    let response = client.get("/v1/operator/config")?;
    if !response.is_success() || opts.json {
        let body = response.body["presets"].clone();
        return show(&Response { body, ..response }, opts);
    }
    for preset in response.body["presets"].as_array().into_iter().flatten() {
        let is_active = preset["name"] == response.body["preset"];
        let marker = if is_active { "*" } else { " " };
        println!("{marker} {}", preset["name"].as_str().unwrap_or_default());
    }
    Ok(Exit::Success)
}

fn preset_show(client: &Client, name: Option<&str>, opts: &CommandOptions) -> Result<Exit> {
    let response = client.get("/v1/operator/config")?;
    if !response.is_success() {
        return show(&response, opts);
    }
    let name = name
        .or(response.body["preset"].as_str())
        .unwrap_or_default();
    let presets = response.body["presets"].as_array().into_iter().flatten();
    let matching = presets.into_iter().find(|preset| preset["name"] == name);
    let Some(preset) = matching else {
        eprintln!("there is no preset `{name}`");
        return Ok(Exit::Refused);
    };
    print_value(preset, opts)?;
    Ok(Exit::Success)
}

/// Returns the version that a change is based on: the one given, or else the active one.
fn base_version(client: &Client, opts: &CommandOptions) -> Result<u64> {
    if let Some(base) = opts.base {
        return Ok(base);
    }
    let response = client.get("/v1/operator/config")?;
    Ok(if response.is_success() {
        response.body["version"].as_u64().unwrap_or(0)
    } else {
        0
    })
}

fn required_reason(opts: &CommandOptions) -> Result<&str> {
    opts.why
        .as_deref()
        .ok_or_else(|| eyre!("--why is missing: every change needs a reason"))
}

fn preset_apply(client: &Client, name: &str, opts: &CommandOptions) -> Result<Exit> {
    let body = json!(
        {"base": base_version(client, opts)?, "why": required_reason(opts)?, "name": name}
    );
    let response = client.post("/v1/operator/preset", &body, None)?;
    if response.is_success() && !opts.json {
        println!(
            "version {}: preset {name} is active",
            response.body["version"]
        );
        return Ok(Exit::Success);
    }
    show(&response, opts)
}

fn read_json(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {file}"))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{file} is not valid JSON"))
}

fn config_apply(client: &Client, file: &str, opts: &CommandOptions) -> Result<Exit> {
    let config = read_json(file)?;
    let body = json!({
        "base": base_version(client, opts)?,
        "why": required_reason(opts)?,
        "preset": config["preset"],
        "presets": config["presets"],
        "customers": config["customers"],
    });
    let response = client.put("/v1/operator/config", &body)?;
    if response.is_success() && !opts.json {
        println!("version {} is active", response.body["version"]);
        return Ok(Exit::Success);
    }
    show(&response, opts)
}

fn config_history(client: &Client, opts: &CommandOptions) -> Result<Exit> {
    let response = client.get("/v1/operator/config")?;
    if !response.is_success() {
        return show(&response, opts);
    }
    let body = response.body["history"].clone();
    show_changes(&Response { body, ..response }, opts)
}

fn show_changes(response: &Response, opts: &CommandOptions) -> Result<Exit> {
    if !response.is_success() || opts.json {
        return show(response, opts);
    }
    for change in response.body.as_array().into_iter().flatten() {
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
    let response = client.get("/v1/operator/usage")?;
    if !response.is_success() || opts.json {
        return show(&response, opts);
    }
    println!("customer\tsettled_us\tunsettled_us\ttasks");
    for line in response.body["customers"].as_array().into_iter().flatten() {
        let name = line["customer"].as_str().unwrap_or_default();
        println!(
            "{name}\t{}\t{}\t{}",
            line["settled_us"], line["unsettled_us"], line["tasks"]
        );
    }
    println!(
        "reports: {} open, {} closed",
        response.body["open_incarnations"], response.body["closed_incarnations"]
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

//! Runs the daemon with command lines and environments from fixtures.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Output, Stdio};

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    args: Vec<String>,
    #[serde(default)]
    env: BTreeMap<String, String>,
    error: Option<String>,
}

fn run(case: &Case) -> std::io::Result<Output> {
    // With `--check`, the process exits even if an invalid setting is accepted.
    assert!(case.args.iter().any(|arg| arg == "--check"));
    Command::new(env!("CARGO_BIN_EXE_savorylaned"))
        .args(&case.args)
        .env_clear()
        .envs(&case.env)
        .stdin(Stdio::null())
        .output()
}

/// Guards against an invalid setting that is accepted, and against an error
/// that does not state which setting to change and how.
fn refused(_path: &Path, json: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&json)?;
    let output = run(&case)?;
    let expected = case.error.ok_or("a refused case needs an error")? + "\n";
    assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    Ok(())
}

/// Guards against a valid setting that is refused.
fn accepted(_path: &Path, json: String) -> datatest_stable::Result<()> {
    let output = run(&serde_json::from_str(&json)?)?;
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.stdout, b"settings are accepted\n");
    assert_eq!(output.status.code(), Some(0));
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/fixtures/settings/refused", pattern = r"\.json$" },
    { test = accepted, root = "tests/fixtures/settings/accepted", pattern = r"\.json$" },
}

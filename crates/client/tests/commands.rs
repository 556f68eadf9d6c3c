//! Runs the built binary on the test cases in `tests/fixtures`.
//!
//! A case states the arguments, the environment, a file for standard input, and
//! the expected exit code, output and written files, as lists of lines. `{out}`
//! stands for a new temporary folder. The binary runs in the folder
//! `tests/fixtures/documents`, so cases name documents by their file names.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::Path;
use std::process::{Command, Stdio};

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    args: Vec<String>,
    #[serde(default)]
    env: BTreeMap<String, String>,
    stdin: Option<String>,
    #[serde(flatten)]
    expected: Expected,
}

#[derive(Debug, Default, Deserialize, PartialEq)]
struct Expected {
    code: i32,
    #[serde(default)]
    stdout: Vec<String>,
    #[serde(default)]
    stderr: Vec<String>,
    #[serde(default)]
    files: BTreeMap<String, Vec<String>>,
}

fn lines(bytes: &[u8], out: &str) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes).replace(out, "{out}");
    text.lines().map(String::from).collect()
}

fn run(path: &Path, json: &str) -> datatest_stable::Result<Expected> {
    let case: Case = serde_json::from_str(json)?;
    let folder = tempfile::tempdir()?;
    let out = folder.path().to_str().ok_or("a path in UTF-8")?;
    let documents = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/documents");
    let stdin = match &case.stdin {
        Some(file) => Stdio::from(File::open(documents.join(file))?),
        None => Stdio::null(),
    };
    let output = Command::new(env!("CARGO_BIN_EXE_savorylane"))
        .args(case.args.iter().map(|arg| arg.replace("{out}", out)))
        .env_clear()
        .envs(&case.env)
        .current_dir(&documents)
        .stdin(stdin)
        .output()?;
    let mut found = Expected {
        code: output
            .status
            .code()
            .ok_or("the run was ended by a signal")?,
        stdout: lines(&output.stdout, out),
        stderr: lines(&output.stderr, out),
        files: BTreeMap::new(),
    };
    for entry in fs::read_dir(&folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        found
            .files
            .insert(name, lines(&fs::read(entry.path())?, out));
    }
    if found != case.expected {
        let expected = case.expected;
        return Err(format!(
            "{}\nexpected: {expected:#?}\nfound:    {found:#?}",
            path.display()
        )
        .into());
    }
    Ok(found)
}

/// Guards against changes of results, error messages, written files or exit
/// codes, which scripts and operators rely on.
fn command(path: &Path, json: String) -> datatest_stable::Result<()> {
    run(path, &json).map(|_| ())
}

/// Guards against an invalid setting that is accepted or has an effect, and
/// against an error that does not name the flag.
fn setting(path: &Path, json: String) -> datatest_stable::Result<()> {
    let found = run(path, &json)?;
    assert_eq!(found.code, 2);
    assert!(found.stdout.is_empty() && found.files.is_empty());
    assert_eq!(found.stderr.len(), 1);
    Ok(())
}

datatest_stable::harness! {
    { test = command, root = "tests/fixtures/commands", pattern = r"\.json$" },
    { test = setting, root = "tests/fixtures/settings", pattern = r"\.json$" },
}

//! Processes of a test, which end with it.
//!
//! If the environment variable `HEMLOCKWIND_OTHER_PROGRAMS` names a folder, the starts of the
//! same program in a test's process run the built program, the one of that folder twice and
//! the built one again, and so on; `HEMLOCKWIND_OTHER_FIRST=1` makes the two change places.
//! So instances that are put into two data centres by turns are of both builds in each.
//! Stand-ins are always the built ones. The logs of these starts are then kept in the folder
//! `mixed` of `CARGO_TARGET_TMPDIR`, as a test that passes removes its own.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// The starts of each program so far, where those of another build take turns.
static STARTS: Mutex<BTreeMap<String, usize>> = Mutex::new(BTreeMap::new());

/// `Process` is a running program. It is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program`; its log goes to `log`.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Self {
        Self::spawn(&in_turn(program, &[log]), args, log, Stdio::null())
    }

    /// Starts `program`; what it writes goes to `log`.
    pub fn logged(program: &str, args: &[&str], log: &Path) -> Self {
        let out_log = log.with_extension("out");
        let program = in_turn(program, &[log, &out_log]);
        let out = File::create(out_log).unwrap();
        Self::spawn(&program, args, log, Stdio::from(out))
    }

    /// Starts a fake, and gives the address that it prints.
    pub fn fake(args: &[&str], log: &Path) -> (Self, SocketAddr) {
        let program = env!("CARGO_BIN_EXE_hemlockwind-standin");
        let mut fake = Self::spawn(Path::new(program), args, log, Stdio::piped());
        let out = fake.child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).unwrap();
        let line: Value = serde_json::from_str(&line).expect("the fake tells its address");
        let addr = line["listening"].as_str().unwrap().parse().unwrap();
        (fake, addr)
    }

    fn spawn(program: &Path, args: &[&str], log: &Path, out: Stdio) -> Self {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for its end.
    pub async fn wait(&mut self, time: Duration) -> ExitStatus {
        let deadline = Instant::now() + time;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "no end within {time:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program of the build whose turn it is: `program`, or the one of the same name in the
/// other build's folder. Where two builds take turns, `logs` are kept.
fn in_turn(program: &str, logs: &[&Path]) -> PathBuf {
    let built = Path::new(program);
    let Some(folder) = std::env::var_os("HEMLOCKWIND_OTHER_PROGRAMS") else {
        return built.to_path_buf();
    };
    let is_other_first = std::env::var("HEMLOCKWIND_OTHER_FIRST").is_ok_and(|v| v == "1");
    let number = {
        let mut starts = STARTS.lock().unwrap();
        let number = starts.entry(program.to_string()).or_default();
        *number += 1;
        *number
    };
    // Built, other, other, built, or the reverse.
    let is_other = (number / 2 % 2 == 0) == is_other_first;
    let build = if is_other { "other" } else { "built" };
    for log in logs {
        let test = log.parent().and_then(Path::file_name).unwrap();
        let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join("mixed");
        let kept = kept.join(test);
        std::fs::create_dir_all(&kept).unwrap();
        let name = log.file_name().unwrap().to_str().unwrap();
        // A log of an earlier start may have this path; it is not written over.
        let _ = std::fs::remove_file(log);
        File::create(log).unwrap();
        std::fs::hard_link(log, kept.join(format!("{number}-{build}-{name}"))).unwrap();
    }
    if is_other {
        Path::new(&folder).join(built.file_name().unwrap())
    } else {
        built.to_path_buf()
    }
}

//! Processes of a test, which end with it.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// `Process` is a running program. It is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program`; its log goes to `log`.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Self {
        Self::spawn(program, args, log, Stdio::null())
    }

    /// Starts `program`; what it writes goes to `log`.
    pub fn logged(program: &str, args: &[&str], log: &Path) -> Self {
        let out = File::create(log.with_extension("out")).unwrap();
        Self::spawn(program, args, log, Stdio::from(out))
    }

    /// Starts a fake, and gives the address that it prints.
    pub fn fake(args: &[&str], log: &Path) -> (Self, SocketAddr) {
        let program = env!("CARGO_BIN_EXE_hemlockwind-standin");
        let mut fake = Self::spawn(program, args, log, Stdio::piped());
        let out = fake.child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).unwrap();
        let line: Value = serde_json::from_str(&line).expect("the fake tells its address");
        let addr = line["listening"].as_str().unwrap().parse().unwrap();
        (fake, addr)
    }

    fn spawn(program: &str, args: &[&str], log: &Path, out: Stdio) -> Self {
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

//! What all instances come to agree on: the configuration, the sheet, who lives.

use std::process::Output;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hemlockwind::core::time::WallTime;
use hemlockwind::sheet::today;
use serde_json::Value;
use tokio::process::Command;

use crate::site::Instance;
use crate::site::Site;
use crate::site::eventually;

/// The time after which an accepted change is in force everywhere, and after
/// which the duties of a dead instance are elsewhere.
const BOUND: Duration = Duration::from_secs(3);
/// The time that a program may take to start on a busy machine.
const START: Duration = Duration::from_secs(30);

async fn status(instance: &Instance) -> Value {
    let answer = instance.admin.json("GET", "/v1/status", vec![]).await;
    serde_json::from_slice(&answer.unwrap_or_default()).unwrap_or_default()
}

async fn sheet(site: &Site, text: &str, flags: &[&str]) -> Output {
    let file = site.settings.with_file_name("sheet.csv");
    std::fs::write(&file, text).unwrap();
    let settings = site.settings.to_str().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockwind"));
    command.args(["sheet", "--settings", settings]);
    command.args(flags).arg(&file);
    command.output().await.unwrap()
}

#[tokio::test]
async fn sheet_whole_or_not_at_all() {
    let site = Site::start("sheet").await;
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let wall = WallTime::from_millis(since.unwrap().as_millis() as u64);
    let day = today(wall, 0).to_string();
    let text = format!(
        "\u{feff}day;kind;name;share;rank;home\r\n\
         {day};organisation;lamps;1,5;urgent;kariakoo\r\n;;;;;\r\n;end;1;;;\r\n"
    );
    let before = status(&site.instances[0]).await["config_version"].as_u64();

    let faulty = sheet(&site, &text.replace("1,5", "viel"), &[]).await;
    assert!(!faulty.status.success());
    let words = String::from_utf8_lossy(&faulty.stderr).into_owned();
    assert!(words.contains("row 2, column share"), "{words}");
    assert!(
        !sheet(&site, &text[..text.len() - 8], &[])
            .await
            .status
            .success()
    );
    let shown = sheet(&site, &text, &["--dry-run"]).await;
    let words = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(words.contains("share from 1 to 1.5"), "{words}");
    assert_eq!(
        status(&site.instances[0]).await["config_version"].as_u64(),
        before
    );

    assert!(sheet(&site, &text, &[]).await.status.success());
    let accepted_at = Instant::now();
    for instance in &site.instances {
        let left = BOUND.saturating_sub(accepted_at.elapsed());
        eventually("the sheet is in force", left, || async {
            status(instance).await["sheet_day"] == day.as_str()
        })
        .await;
    }
    let version = status(&site.instances[0]).await["config_version"].as_u64();
    let again = sheet(&site, &text, &[]).await;
    assert!(again.status.success());
    let words = String::from_utf8_lossy(&again.stdout).into_owned();
    assert!(words.contains("nothing changed"), "{words}");
    assert_eq!(
        status(&site.instances[0]).await["config_version"].as_u64(),
        version
    );
}

#[tokio::test]
async fn members_killed_and_back_without_platform() {
    let mut site = Site::start_with("members", 4).await;
    let is_live = |status: &Value, name: &str| {
        let live = status["live_instances"].as_array().cloned();
        live.unwrap_or_default().iter().any(|of| of == name)
    };
    let name = site.instances[3].named.name.clone();
    let version = status(&site.instances[0]).await["config_version"].clone();
    site.instances[3].process.kill();
    // Instances stand by turns in two data centres.
    eventually("its data centre knows of the death", BOUND, || async {
        !is_live(&status(&site.instances[1]).await, &name)
    })
    .await;

    site.platform.kill();
    site.restart(3);
    eventually(
        "the instance takes its configuration from peers",
        START,
        || async { status(&site.instances[3]).await["config_version"] == version },
    )
    .await;
    eventually("its data centre knows that it is back", BOUND, || async {
        is_live(&status(&site.instances[1]).await, &name)
    })
    .await;
    let text = site.instances[3].caller.complete("habari", 4).await;
    assert_eq!(
        text.unwrap(),
        hemlockwind_standin::caller::expected_text("habari", 4)
    );

    // A stopped process is taken for dead, and denies it when it goes on.
    site.instances[3].process.signal("STOP");
    eventually("its data centre takes it for dead", BOUND, || async {
        !is_live(&status(&site.instances[1]).await, &name)
    })
    .await;
    site.instances[3].process.signal("CONT");
    eventually("it denies its death", BOUND, || async {
        is_live(&status(&site.instances[1]).await, &name)
    })
    .await;
}

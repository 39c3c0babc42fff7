//! State that spreads to all instances: the configuration, the sheet and the live instances.

use std::process::Output;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hemlockwind::core::time::WallTime;
use hemlockwind::protocol::peer::configuration::Head;
use hemlockwind::protocol::peer::decode;
use hemlockwind::protocol::peer::encode;
use hemlockwind::sheet::today;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;
use tokio::time::sleep;

use crate::site::Instance;
use crate::site::Options;
use crate::site::Site;
use crate::site::eventually;
use crate::site::get;
use crate::site::set;

/// Maximum time until an accepted change is in force at all instances, and until a data centre
/// records that one of its instances is dead or live again. Within the same time the assignments of
/// a dead instance have to move to other instances.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);
/// How long a process may take to start, also on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the status that an instance reports, or null if it does not answer.
async fn status(instance: &Instance) -> Value {
    let response = instance.admin.json("GET", "/v1/status", vec![]).await;
    serde_json::from_slice(&response.unwrap_or_default()).unwrap_or_default()
}

/// Submits a sheet with the command line.
async fn submit_sheet(site: &Site, text: &str, flags: &[&str]) -> Output {
    let file = site.settings.with_file_name("sheet.csv");
    std::fs::write(&file, text).unwrap();
    let settings = site.settings.to_str().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockwind"));
    command.args(["sheet", "--settings", settings]);
    command.args(flags).arg(&file);
    command.output().await.unwrap()
}

#[tokio::test]
async fn sheet_accepted_as_a_whole_or_refused() {
    let site = Site::start("sheet").await;
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let wall = WallTime::from_millis(since_epoch.unwrap().as_millis() as u64);
    let day = today(wall, 0).to_string();
    let text = format!(
        "\u{feff}day;kind;name;share;rank;home\r\n\
         {day};organisation;lamps;1,5;urgent;kariakoo\r\n;;;;;\r\n;end;1;;;\r\n"
    );
    let before = status(&site.instances[0]).await["config_version"].as_u64();

    let invalid = submit_sheet(&site, &text.replace("1,5", "viel"), &[]).await;
    assert!(!invalid.status.success());
    let stderr = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert!(stderr.contains("row 2, column share"), "{stderr}");
    assert!(
        !submit_sheet(&site, &text[..text.len() - 8], &[])
            .await
            .status
            .success()
    );
    let preview = submit_sheet(&site, &text, &["--dry-run"]).await;
    let stdout = String::from_utf8_lossy(&preview.stdout).into_owned();
    assert!(stdout.contains("share from 1 to 1.5"), "{stdout}");
    assert_eq!(
        status(&site.instances[0]).await["config_version"].as_u64(),
        before
    );

    assert!(submit_sheet(&site, &text, &[]).await.status.success());
    let accepted_at = Instant::now();
    for instance in &site.instances {
        let left = MAX_SPREAD_TIME.saturating_sub(accepted_at.elapsed());
        eventually("the sheet is in force", left, || async {
            status(instance).await["sheet_day"] == day.as_str()
        })
        .await;
    }
    let version = status(&site.instances[0]).await["config_version"].as_u64();
    let again = submit_sheet(&site, &text, &[]).await;
    assert!(again.status.success());
    let stdout = String::from_utf8_lossy(&again.stdout).into_owned();
    assert!(stdout.contains("nothing changed"), "{stdout}");
    assert_eq!(
        status(&site.instances[0]).await["config_version"].as_u64(),
        version
    );
}

// A watch returns all objects whose names begin with that of the head.
#[tokio::test]
async fn object_named_like_the_head_is_not_put_in_force() {
    let site = Site::start("odd-head").await;
    let stored: Value = get(site.platform_addr, "/v1/objects/configuration/head").await;
    let stored = STANDARD.decode(stored["value"].as_str().unwrap()).unwrap();
    let mut head: Head = decode(&stored).unwrap();
    let version = head.version;
    head.version += 1_000;
    head.recent.last_mut().unwrap().version = head.version;
    let value = STANDARD.encode(encode(&head).unwrap());
    let write = json!({ "value": value, "when": "none" });
    let name = "/v1/objects/configuration/head-copy";
    set(site.platform_addr, name, &write).await;
    sleep(Duration::from_secs(1)).await;
    site.remove_engine(0).await;
    let accepted_at = Instant::now();
    for instance in &site.instances {
        let left = MAX_SPREAD_TIME.saturating_sub(accepted_at.elapsed());
        eventually("the change is in force", left, || async {
            status(instance).await["config_version"].as_u64() == Some(version + 1)
        })
        .await;
    }
}

#[tokio::test]
async fn members_killed_instance_rejoins_without_platform() {
    let options = Options {
        instances: 4,
        ..Options::default()
    };
    let mut site = Site::start_with("members", options).await;
    let is_live = |status: &Value, name: &str| {
        let live = status["live_instances"].as_array().cloned();
        live.unwrap_or_default()
            .iter()
            .any(|live_name| live_name == name)
    };
    let name = site.instances[3].definition.name.clone();
    let version = status(&site.instances[0]).await["config_version"].clone();
    site.instances[3].process.kill();
    // Instances are placed into two data centres alternately, so instance 1 is in the same data
    // centre as instance 3.
    eventually(
        "its data centre records the instance as dead",
        MAX_SPREAD_TIME,
        || async { !is_live(&status(&site.instances[1]).await, &name) },
    )
    .await;

    site.platform.kill();
    site.restart(3);
    eventually(
        "the instance gets its configuration from peers",
        START_TIMEOUT,
        || async { status(&site.instances[3]).await["config_version"] == version },
    )
    .await;
    eventually(
        "its data centre records the instance as live",
        MAX_SPREAD_TIME,
        || async { is_live(&status(&site.instances[1]).await, &name) },
    )
    .await;
    let text = site.instances[3].caller.complete("habari", 4).await;
    assert_eq!(
        text.unwrap(),
        hemlockwind_standin::caller::expected_text("habari", 4)
    );

    // A paused process is considered dead, and refutes that when it continues.
    site.instances[3].process.signal("STOP");
    eventually(
        "its data centre records the paused instance as dead",
        MAX_SPREAD_TIME,
        || async { !is_live(&status(&site.instances[1]).await, &name) },
    )
    .await;
    site.instances[3].process.signal("CONT");
    eventually(
        "the instance refutes its death",
        MAX_SPREAD_TIME,
        || async { is_live(&status(&site.instances[1]).await, &name) },
    )
    .await;
}

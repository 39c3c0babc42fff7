//! The search for the holder of an assignment among the live instances of a data centre.

use hemlockwind::core::directory::Directory;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::daemon::assignments::Assignments;
use hemlockwind::daemon::assignments::Member;
use hemlockwind::membership::Assignment;
use hemlockwind::settings::Settings;

use crate::table::Table;
use crate::table::nanos_per_run;

/// The settings of one instance.
const SETTINGS: &str = r#"{
  "platform": "127.0.0.1:1", "peer_key": "0123456789abcdef", "admin_token": "fedcba9876543210",
  "instances": [{"name": "a", "data_centre": "x", "callers": "127.0.0.1:2",
                 "peers": "127.0.0.1:3", "admin": "127.0.0.1:4"}]
}"#;

/// Measures the search for a holder.
pub fn measure(table: &mut Table) {
    let times = [8, 289, 2_600].map(|count| {
        let mut directory = Directory::default();
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let assignments = Assignments::new(&settings, "a", &mut directory);
        let data_centre = directory.data_centres.intern("x");
        assignments.set(members(count, data_centre, &mut directory));
        let time = nanos_per_run(|| {
            std::hint::black_box(assignments.holder(Assignment::Pool("model@x"), data_centre));
        });
        (count, time)
    });
    table.add_row(
        "holder of an assignment",
        "ns",
        "instances known",
        289,
        times.to_vec(),
    );
}

/// Returns instances of one data centre.
fn members(count: usize, data_centre: DataCentreKey, directory: &mut Directory) -> Vec<Member> {
    let members = (0..count).map(|i| {
        let name = format!("instance-{i}");
        Member {
            key: directory.instances.intern(&name),
            name: name.into(),
            data_centre,
            addr: ([127, 0, 0, 1], 1).into(),
        }
    });
    members.collect()
}

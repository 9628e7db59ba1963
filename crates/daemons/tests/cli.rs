//! Runs the operators' command as a process against the stand-in platform.

use std::{
    fs,
    path::PathBuf,
    process::Command,
    time::{Duration, Instant},
};

use guavacourse_daemons::nodes::{ANY_PORT, Node};
use guavacourse_standins::{Outage, Platform, PlatformFaults, PlatformSettings};

/// Generous maximum time to wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An operator's shell with its own working directory.
struct Shell {
    platform: Platform,
    dir: PathBuf,
    /// Command lines so far, with their output and exit codes.
    log: String,
}

impl Shell {
    fn new(name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).expect("a directory");
        Self {
            platform: Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform"),
            dir,
            log: String::new(),
        }
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.dir.join(file), text).expect("written");
    }

    /// Runs the command; returns its exit code and standard output.
    fn run(&mut self, line: &str) -> (i32, String) {
        let platform = self.platform.address().to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_guavacourse"))
            .args(line.split_whitespace())
            .current_dir(&self.dir)
            .env("GUAVACOURSE_PLATFORM", &platform)
            .env("USER", "selam")
            .output()
            .expect("the command runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().expect("an exit code");
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        let shown = format!("$ guavacourse {line}\n{out}{err}[exit {code}]\n\n");
        self.log.push_str(&shown.replace(&platform, "PLATFORM"));
        (code, out)
    }

    /// Returns the log with everything replaced that differs from run to run.
    fn log(&self) -> String {
        let mut lines = Vec::new();
        for line in self.log.lines() {
            let mut words: Vec<&str> = Vec::new();
            let mut last = "";
            for word in line.split(' ') {
                let varies = last == "operation" || word.starts_with("20") && word.ends_with('Z');
                words.push(if varies { "..." } else { word });
                last = word;
            }
            lines.push(words.join(" "));
        }
        lines.join("\n")
    }
}

const FIRST_CONFIG: &str =
    "epoch = 1\n\n[[data-centres]]\nname = \"kandy\"\nregion = \"central\"\n";

#[test]
fn a_session() {
    let mut shell = Shell::new("session");
    shell.write("first.toml", FIRST_CONFIG);
    shell.write("faulty.toml", &FIRST_CONFIG.replace("region", "regoin"));
    for line in [
        "get",
        "check first.toml",
        "check faulty.toml",
        "check absent.toml",
    ] {
        shell.run(line);
    }
    shell.run("apply faulty.toml");
    shell.run("apply first.toml");
    shell.run("apply first.toml");
    let (_, text) = shell.run("get");
    shell.write("edited.toml", &text.replace("central", "hills"));
    shell.write("late.toml", &text.replace("central", "coast"));
    shell.write("unnamed.toml", &FIRST_CONFIG.replace("central", "coast"));
    for line in [
        "diff edited.toml",
        "apply edited.toml",
        "apply late.toml",
        "apply unnamed.toml",
        "diff 1",
        "get --revision 1",
        "get --revision 7",
        "history",
        "status",
        "--json check faulty.toml",
        "--json diff 2",
    ] {
        shell.run(line);
    }
    insta::assert_snapshot!(shell.log());
}

#[test]
fn the_platform_is_down() {
    let mut shell = Shell::new("down");
    shell.write("first.toml", FIRST_CONFIG);
    shell.platform.set_faults(PlatformFaults {
        down: Outage::Refuse,
        ..PlatformFaults::default()
    });
    assert_eq!(shell.run("apply first.toml").0, 4);
    assert_eq!(shell.run("get").0, 4);
    assert_eq!(shell.run("status").0, 4);
    assert_eq!(shell.run("check first.toml").0, 0);
}

#[test]
fn an_apply_whose_replies_are_lost_succeeds_once() {
    let mut shell = Shell::new("lost");
    shell.write("first.toml", FIRST_CONFIG);
    shell.platform.set_faults(PlatformFaults {
        lost_replies: 2,
        ..PlatformFaults::default()
    });
    let (code, _) = shell.run("apply first.toml");
    assert_eq!(code, 0, "{}", shell.log);
    let (_, history) = shell.run("--json history");
    assert_eq!(history.matches("operation").count(), 1, "{history}");
}

#[test]
fn status_of_a_fleet() {
    let mut shell = Shell::new("status");
    let platform = shell.platform.address();
    shell.write("first.toml", FIRST_CONFIG);
    shell.run("apply first.toml");
    let start = |number| Node::start(number, platform, Vec::new()).expect("a node");
    let (one, two) = (start(1), start(2));
    let listed = |shell: &Shell| shell.platform.instances().len() == 2;
    let ready = |node: &Node| node.revision() == 1;
    let started = Instant::now();
    while !(listed(&shell) && ready(&one) && ready(&two)) {
        assert!(started.elapsed() < TIMEOUT, "the nodes are not ready");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (code, shown) = shell.run("--json status");
    assert_eq!(code, 0, "{}", shell.log);
    assert_eq!(shown.matches("\"revision\": 1").count(), 3, "{shown}");
    let address = one.address;
    one.stop();
    let (code, shown) = shell.run(&format!("status --peer {address}"));
    assert_eq!(code, 7, "{}", shell.log);
    assert!(shown.contains("no answer; check that it runs"), "{shown}");
    // The other process answers while the platform is down.
    shell.platform.set_faults(PlatformFaults {
        down: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let (code, shown) = shell.run(&format!("--json status --peer {}", two.address));
    assert_eq!(code, 0, "{}", shell.log);
    assert!(shown.contains("\"highest\": 1"), "{shown}");
}

#[test]
fn usage() {
    let mut shell = Shell::new("usage");
    shell.run("--help");
    for command in ["apply", "check", "diff", "get", "history", "status"] {
        let (code, help) = shell.run(&format!("{command} --help"));
        assert_eq!(code, 0);
        assert!(help.contains("Usage"), "{help}");
    }
    assert_eq!(shell.run("aply").0, 1);
    insta::assert_snapshot!(shell.log());
}

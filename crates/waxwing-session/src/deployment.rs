//! A deployment on loopback: test doubles of the platform and of backend servers, and the real
//! processes of the entry VMs.
//!
//! Each machine has its own IP address in 127.0.0.0/8, so that all machines use the same ports and
//! deployments that run at the same time do not interfere. The second octet is derived from the
//! process id of the test, and the third is the number of the deployment.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use waxwing_stand_ins::caller;

/// The port that the platform and backend servers listen on, and the base of all other ports.
const BASE_PORT: u16 = 7000;

/// How long [`wait_until`] waits for its condition.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// How often [`wait_until`] checks its condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The largest number of entry VMs in a lookup response.
const LOOKUP_VMS_MAX: usize = 4;

/// The processes of an entry VM, with the offset of their ports.
const PROCESSES: [(&str, u16); 3] =
    [("waxwing-keeper", 2), ("waxwing-lookup", 4), ("waxwing-entry", 6)];

/// A running process, killed when dropped.
#[derive(Debug)]
struct ChildProcess {
    name: String,
    child: process::Child,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.child.kill().is_ok() {
            self.child.wait().ok();
        }
    }
}

/// The running processes of a deployment with their settings and logs. Dropping it kills the
/// processes, and deletes the files unless the test has panicked.
#[derive(Debug)]
pub struct Deployment {
    subnet: [u8; 2],
    directory: path::PathBuf,
    processes: Vec<ChildProcess>,
    vms: Vec<(String, String)>,
}

/// Waits until a condition holds; `what` states the condition.
///
/// # Panics
///
/// Panics if the condition does not hold within 20 seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = time::Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

impl Deployment {
    /// Creates a deployment and starts its platform; `number` is unique among the deployments of a
    /// test process and selects their addresses.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn start(number: u8) -> Self {
        let process_octet = u8::try_from(process::id() % 200).unwrap_or(0) + 20;
        let directory = std::env::temp_dir().join(format!("waxwing-{}-{number}", process::id()));
        fs::create_dir_all(&directory).expect("a directory for settings and logs");
        let mut deployment = Self {
            subnet: [process_octet, number],
            directory,
            processes: Vec::new(),
            vms: Vec::new(),
        };
        let listen = deployment.platform_address().to_string();
        deployment.start_binary("platform", "waxwing-stand-in-platform", &["--listen", &listen]);
        let platform = deployment.platform_address();
        wait_until("the platform is listening", || caller::connect(platform).is_ok());
        deployment
    }

    fn address(&self, machine: u8, port: u16) -> net::SocketAddr {
        let [second, third] = self.subnet;
        net::SocketAddr::from(([127, second, third, machine], port))
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> net::SocketAddr {
        self.address(1, BASE_PORT)
    }

    fn vm_number(&self, vm: &str) -> u8 {
        let at = self.vms.iter().position(|(name, _)| name == vm).expect("a known VM");
        u8::try_from(at).expect("few VMs") + 100
    }

    /// Returns the address at which an entry VM receives callers' requests.
    pub fn entry_address(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), BASE_PORT + 6)
    }

    /// Returns the address at which an entry VM receives requests that other entry VMs forward.
    pub fn forward_address(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), BASE_PORT + 7)
    }

    /// Returns the address at which an entry VM serves lookups.
    pub fn lookup_address(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), BASE_PORT + 4)
    }

    /// Returns the UDP address at which an entry VM's keeper receives messages of other keepers.
    pub fn peer_address(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), BASE_PORT + 2)
    }

    /// Returns the address of the admin endpoints of one process of an entry VM.
    ///
    /// # Panics
    ///
    /// Panics if there is no such process.
    pub fn admin_address(&self, vm: &str, process: &str) -> net::SocketAddr {
        let port = PROCESSES.iter().find(|(name, _)| *name == process).expect("a process").1;
        self.address(self.vm_number(vm), BASE_PORT + 100 + port)
    }

    /// Returns the address of the backend server with this number.
    pub fn backend_address(&self, number: u8) -> net::SocketAddr {
        self.address(10 + number, BASE_PORT)
    }

    /// Starts a backend server with `slots` slots and waits until it listens.
    pub fn start_backend(&mut self, name: &str, number: u8, slots: u32) {
        let (listen, slots) = (self.backend_address(number).to_string(), slots.to_string());
        let arguments = ["--listen", &listen, "--name", name, "--slots", &slots];
        self.start_binary(name, "waxwing-stand-in-backend", &arguments);
        let address = self.backend_address(number);
        wait_until("the backend server is listening", || caller::connect(address).is_ok());
    }

    /// Adds entry VMs, given with their failure domains, to the platform's list, starts their
    /// processes and waits until lookups return them.
    pub fn start_vms(&mut self, vms: &[(&str, &str)]) {
        self.vms = vms.iter().map(|(vm, domain)| (vm.to_string(), domain.to_string())).collect();
        self.set_vm_list(vms.iter().map(|(vm, _)| *vm).collect::<Vec<_>>().as_slice());
        for (vm, _) in vms {
            self.start_vm(vm);
        }
        self.wait_until_ready();
    }

    /// Adds one more entry VM and starts its processes, without adding it to the platform's list.
    pub fn add_vm(&mut self, vm: &str, failure_domain: &str) {
        self.vms.push((vm.to_owned(), failure_domain.to_owned()));
        self.start_vm(vm);
    }

    /// Starts all processes of an entry VM that was added before.
    pub fn start_vm(&mut self, vm: &str) {
        for (process, _) in PROCESSES {
            self.start_process(vm, process);
        }
    }

    /// Starts one process of an entry VM that was added before.
    pub fn start_process(&mut self, vm: &str, process: &str) {
        self.start_process_with(vm, process, "");
    }

    /// Starts one process of an entry VM that was added before, with more lines in its settings.
    pub fn start_process_with(&mut self, vm: &str, process: &str, more_settings: &str) {
        let settings = self.write_settings(vm, process, more_settings);
        let settings = settings.display().to_string();
        self.start_binary(&format!("{vm}.{process}"), process, &["--settings", &settings]);
    }

    /// Waits until a lookup at each entry VM returns as many VMs as there are, or the most that a
    /// response contains.
    fn wait_until_ready(&self) {
        for (vm, _) in &self.vms {
            let expected = self.vms.len().min(LOOKUP_VMS_MAX);
            wait_until("a lookup returns all entry VMs", || self.lookup_vms(vm).len() == expected);
        }
    }

    /// Returns the entry VMs in the response to a lookup at `vm`, in order; empty if it fails.
    pub fn lookup_vms(&self, vm: &str) -> Vec<String> {
        let request = caller::Request::new("GET", "/lookup");
        let Ok(response) = caller::call(self.lookup_address(vm), &request) else {
            return Vec::new();
        };
        let response: serde_json::Value =
            serde_json::from_slice(&response.body).unwrap_or_default();
        let vms = response["vms"].as_array().cloned().unwrap_or_default();
        vms.iter().filter_map(|vm| Some(vm["vm"].as_str()?.to_owned())).collect()
    }

    /// Replaces the platform's list of entry VMs.
    pub fn set_vm_list(&self, vms: &[&str]) {
        let list: Vec<serde_json::Value> = self
            .vms
            .iter()
            .filter(|(vm, _)| vms.contains(&vm.as_str()))
            .map(|(vm, domain)| {
                serde_json::json!({
                    "vm": vm, "failure_domain": domain, "peer_address": self.peer_address(vm),
                    "entry_address": self.entry_address(vm),
                    "forward_address": self.forward_address(vm), "phase": "live",
                })
            })
            .collect();
        self.post_json(self.platform_address(), "/control/vms", &serde_json::Value::Array(list));
    }

    /// Posts a JSON value to a test double, to control its behaviour or to write to its store.
    ///
    /// # Panics
    ///
    /// Panics if the test double does not respond with status 200.
    pub fn post_json(&self, address: net::SocketAddr, path: &str, value: &serde_json::Value) {
        let request = caller::Request::new("POST", path)
            .header("content-type", "application/json")
            .body(value.to_string().into_bytes());
        let response = caller::call(address, &request).expect("a response of the test double");
        assert_eq!(response.status, 200, "{}", response.text());
    }

    /// Sends a GET request to a process and returns the JSON of the response.
    ///
    /// # Panics
    ///
    /// Panics if the process does not respond with JSON.
    pub fn get_json(&self, address: net::SocketAddr, path: &str) -> serde_json::Value {
        let response = caller::call(address, &caller::Request::new("GET", path));
        serde_json::from_slice(&response.expect("a response of the process").body).expect("JSON")
    }

    fn write_settings(&self, vm: &str, process: &str, more: &str) -> path::PathBuf {
        let domain = &self.vms.iter().find(|(name, _)| name == vm).expect("a known VM").1;
        let keeper = self.address(self.vm_number(vm), BASE_PORT + 1);
        let admin = self.admin_address(vm, process);
        let process_settings = match process {
            "waxwing-keeper" => format!(
                "peer_address: {}\nlocal_address: 127.0.0.1:0\nentry_address: {}\n\
                 forward_address: {}\nplatform_address: {}\n",
                self.peer_address(vm),
                self.entry_address(vm),
                self.forward_address(vm),
                self.platform_address()
            )
            .replace("127.0.0.1:0", &keeper.to_string()),
            "waxwing-lookup" => {
                format!("listen_address: {}\nkeeper_address: {keeper}\n", self.lookup_address(vm))
            }
            _ => format!(
                "listen_address: {}\nforward_address: {}\nkeeper_address: {keeper}\nlinger: 500ms\n",
                self.entry_address(vm),
                self.forward_address(vm)
            ),
        };
        let text = format!(
            "vm: {vm}\nfailure_domain: {domain}\nadmin_address: {admin}\n{process_settings}{more}"
        );
        let path = self.directory.join(format!("{vm}.{process}.yaml"));
        fs::write(&path, text).expect("settings can be written");
        path
    }

    fn start_binary(&mut self, name: &str, binary: &str, arguments: &[&str]) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))
            .expect("a log can be written");
        let child = process::Command::new(binary_path(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a log can be written"))
            .stderr(log)
            .spawn()
            .expect("the binary can be started; build all binaries first");
        self.processes.push(ChildProcess { name: name.to_owned(), child });
    }

    /// Runs the `waxwing` command and returns its exit code and its output, stdout before stderr.
    ///
    /// # Panics
    ///
    /// Panics if the command can't be started.
    pub fn run_cli(&self, arguments: &[&str]) -> (i32, String) {
        let settings = self.directory.join("waxwing.yaml");
        let mut text = format!("platform_address: {}\nadmin_addresses:\n", self.platform_address());
        for (vm, _) in &self.vms {
            for (process, _) in PROCESSES {
                text.push_str(&format!("  - {}\n", self.admin_address(vm, process)));
            }
        }
        // Renamed into place, since another thread's command may be reading the file.
        let written = settings.with_extension(format!("{:?}", thread::current().id()));
        fs::write(&written, text).expect("settings can be written");
        fs::rename(&written, &settings).expect("settings can be renamed");
        let output = process::Command::new(binary_path("waxwing"))
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .output()
            .expect("the command can be started; build all binaries first");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Writes records in YAML with `waxwing apply`.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub fn apply(&self, records: &str) {
        let path = self.directory.join("records.yaml");
        fs::write(&path, records).expect("records can be written");
        let (code, text) = self.run_cli(&["apply", &path.display().to_string()]);
        assert_eq!(code, 0, "{text}");
    }

    /// Issues an API key with `waxwing key issue` and returns it.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub fn issue_key(&self, name: &str, organisation: &str) -> String {
        let (code, text) = self.run_cli(&["key", "issue", name, "--organisation", organisation]);
        assert_eq!(code, 0, "{text}");
        text.lines().find(|line| line.starts_with("wx-")).expect("a key").to_owned()
    }

    /// Sends a signal, such as TERM, STOP or CONT, to the process that was started last under a
    /// name.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent.
    pub fn signal(&self, name: &str, signal: &str) {
        let target = self.processes.iter().rev().find(|target| target.name == name);
        let pid = target.expect("a started process").child.id().to_string();
        let status = process::Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(status.expect("kill can be started").success(), "{name}");
    }

    /// Kills a process with SIGKILL and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if there is no such process.
    pub fn kill(&mut self, name: &str) {
        let at = self.processes.iter().rposition(|target| target.name == name);
        drop(self.processes.remove(at.expect("a started process")));
    }

    /// Returns the id of the process that was started last under a name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such process.
    pub fn pid(&self, name: &str) -> u32 {
        let target = self.processes.iter().rev().find(|target| target.name == name);
        target.expect("a started process").child.id()
    }

    /// Waits until a process has exited without being killed.
    ///
    /// # Panics
    ///
    /// Panics if it does not exit in time.
    pub fn wait_for_exit(&mut self, name: &str) {
        let at = self.processes.iter().rposition(|target| target.name == name);
        let child = &mut self.processes[at.expect("a started process")].child;
        wait_until("the process has exited", || matches!(child.try_wait(), Ok(Some(_))));
    }

    /// Returns the output of all processes of the deployment, including processes that have exited.
    ///
    /// # Errors
    ///
    /// Returns an error if a log can't be read.
    pub fn logs(&self) -> io::Result<Vec<u8>> {
        let mut logs = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                logs.extend(fs::read(path)?);
            }
        }
        Ok(logs)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if !thread::panicking() {
            fs::remove_dir_all(&self.directory).ok();
        }
    }
}

/// Returns the path of a binary of this workspace, built into the same directory as the running
/// test.
///
/// # Panics
///
/// Panics if the path of the running test can't be determined.
pub fn binary_path(binary: &str) -> path::PathBuf {
    let mut path = std::env::current_exe().expect("the test's own path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(binary)
}

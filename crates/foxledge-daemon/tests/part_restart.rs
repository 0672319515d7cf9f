//! A failed part is started anew and the rest goes on.

mod common;

use std::{rc::Rc, thread};

use common::run_until;
use foxledge_daemon::{
    context::DaemonContext, daemon::Daemon, life_cycle::LifeCycle, member_manager::MemberManager,
    part_kind::DaemonSupervisor,
};
use foxledge_fakes::harness::{InstanceAddresses, free_address, http};
use foxledge_settings::parse_settings;
use stakker::call;

fn fail_part(context: &Rc<DaemonContext>, name: &str) {
    let root = context.directory.get::<DaemonSupervisor>().unwrap();
    call!([root], fail_part(name.to_owned(), Box::new(|found: bool| assert!(found))));
}

fn restarts(context: &DaemonContext, part: &str) -> u64 {
    context.metrics.part_restarts.with_label_values(&[part]).get()
}

/// Runs the main loop while another thread asks the admin port.
fn ask_admin(daemon: &mut Daemon, listen: InstanceAddresses) -> u16 {
    let asker = thread::spawn(move || http::get(listen.admin, "/healthz").map(|got| got.status));
    run_until(daemon, "the admin port answers", |_| asker.is_finished());
    asker.join().unwrap().unwrap_or(0)
}

/// Symptom: one fault in one part ends every flow of the instance, or leaves it half alive.
/// Sequence: each part in turn is made to fail, the one with the side thread twice.
/// Cause: a part without a supervisor, or one that can't find the others after its restart.
///
/// One test, as a process can have only one main loop.
#[test]
fn each_part_comes_back() {
    let listen = InstanceAddresses::pick().unwrap();
    let text = common::settings_text("restarts", listen, free_address().unwrap(), "");
    let settings = parse_settings("restarts.toml", &text).unwrap();
    let mut daemon = Daemon::start(settings).unwrap();
    let context = daemon.context().clone();
    let first_incarnation = context.local_info.borrow().incarnation;
    assert_eq!(ask_admin(&mut daemon, listen), 503);

    for part in ["listener", "engine", "lists", "members", "life", "link", "link"] {
        let before = restarts(&context, part);
        fail_part(&context, part);
        run_until(&mut daemon, part, |context| restarts(context, part) == before + 1);
        assert_eq!(ask_admin(&mut daemon, listen), 503, "after {part}");
    }

    // The new engine has forgotten what ran under its predecessor's tickets.
    assert!(context.local_info.borrow().incarnation > first_incarnation);
    assert!(context.directory.get::<MemberManager>().is_some());

    // A stop that was asked for while the life cycle is down isn't lost.
    fail_part(&context, "life");
    run_until(&mut daemon, "life ends", |context| context.directory.get::<LifeCycle>().is_none());
    context.is_stop_requested.set(true);
    daemon.run().unwrap();
}

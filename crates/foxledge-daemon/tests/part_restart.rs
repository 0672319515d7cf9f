//! Restarts of failed parts.

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

/// Queries the admin port from another thread while the main loop runs.
fn ask_admin(daemon: &mut Daemon, listen: InstanceAddresses) -> u16 {
    let asker = thread::spawn(move || http::get(listen.admin, "/healthz").map(|got| got.status));
    run_until(daemon, "the admin port responds", |_| asker.is_finished());
    asker.join().unwrap().unwrap_or(0)
}

/// Guards against a failure of one part that ends all flows of the instance or leaves it partly
/// working, because the part isn't supervised or loses its connections to the others. Each part
/// fails in turn, the one with the side thread twice.
///
/// This is one test, as a process can have only one main loop.
#[test]
fn restarts_each_failed_part() {
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

    // The restarted engine doesn't know what ran under the tickets of the previous one.
    assert!(context.local_info.borrow().incarnation > first_incarnation);
    assert!(context.directory.get::<MemberManager>().is_some());

    // A stop that is requested while the life cycle is down isn't lost.
    fail_part(&context, "life");
    run_until(&mut daemon, "life ends", |context| context.directory.get::<LifeCycle>().is_none());
    context.is_stop_requested.set(true);
    daemon.run().unwrap();
}

//! Updates that a view sends to its subscribers.

use gateway::view::{Cursor, Update, View};
use peer::gateway::{Change, Member};
use std::time::Instant;

fn member(vm: &str) -> Member {
    Member { vm: vm.into(), dc: "dc".into(), addr: vm.into(), incarnation: 1, cpu: 250 }
}

fn view_of(count: usize, revision: u64) -> View {
    let view = View::default();
    let members = (0..count).map(|number| member(&format!("vm-{number}"))).collect();
    view.replace(
        Vec::new(),
        members,
        Default::default(),
        Default::default(),
        revision,
        Instant::now(),
    );
    view
}

macro_rules! cases {
    ($($name:ident $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    a_subscriber_without_a_view_gets_the_whole_view {
        let update = view_of(9, 20).next_update(&mut Cursor::new(None, 0));
        assert!(matches!(update, Update::View(view) if view.members.len() == 9));
    }

    a_subscriber_whose_view_is_as_new_gets_no_changes {
        let view = view_of(9, 20);
        for revision in [20, 21] {
            let update = view.next_update(&mut Cursor::new(None, revision));
            assert!(matches!(update, Update::Changes(changes) if changes.changes.is_empty()));
        }
    }

    a_subscriber_with_a_current_view_gets_later_changes {
        let view = view_of(9, 20);
        view.apply(vec![Change::Left("vm-1".into())], 21, Instant::now());
        let mut cursor = Cursor::new(None, 21);
        assert!(matches!(view.next_update(&mut cursor), Update::Changes(_)));
        view.apply(vec![Change::Joined(member("vm-10"))], 22, Instant::now());
        let Update::Changes(changes) = view.next_update(&mut cursor) else { panic!("expected changes") };
        assert_eq!(changes.changes, [Change::Joined(member("vm-10"))]);
        assert_eq!(changes.revision, 22);
    }

    // Guards against a listing that was under way while newer changes arrived, and takes them back.
    a_late_listing_takes_back_newer_changes {
        let view = view_of(9, 20);
        view.apply(vec![Change::Left("vm-1".into())], 22, Instant::now());
        let members = (0..9).map(|number| member(&format!("vm-{number}"))).collect();
        let (terms, versions) = Default::default();
        view.replace(Vec::new(), members, terms, versions, 21, Instant::now());
        assert!(!view.with_members(|live| live.contains_key("vm-1")));
        assert_eq!(view.revision(), 22);
    }

    // Guards against the same by a watch that began at such a listing.
    a_late_watch_takes_back_newer_changes {
        let view = view_of(9, 20);
        view.apply(vec![Change::Left("vm-1".into())], 22, Instant::now());
        view.apply(vec![Change::Joined(member("vm-1"))], 21, Instant::now());
        assert!(!view.with_members(|live| live.contains_key("vm-1")));
        // Changes that overlap those already known lead to the same view.
        let changes = vec![
            Change::Joined(member("vm-1")),
            Change::Left("vm-1".into()),
            Change::Left("vm-2".into()),
        ];
        view.apply(changes, 23, Instant::now());
        assert_eq!(view.with_members(|live| live.len()), 7);
    }

    a_subscriber_with_an_older_view_gets_the_whole_view {
        let update = view_of(9, 20).next_update(&mut Cursor::new(None, 19));
        assert!(matches!(update, Update::View(_)));
    }
}

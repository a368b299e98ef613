//! What followers are sent.

use gateway::view::{Cursor, Update, View};
use peer::gateway::{Change, Member};
use std::time::Instant;

fn member(vm: &str) -> Member {
    Member { vm: vm.into(), dc: "dc".into(), addr: vm.into(), incarnation: 1, cpu: 250 }
}

fn view_of(count: usize, revision: u64) -> View {
    let view = View::default();
    let members = (0..count).map(|number| member(&format!("vm-{number}"))).collect();
    view.replace(Vec::new(), members, Default::default(), revision, Instant::now());
    view
}

macro_rules! cases {
    ($($name:ident $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    a_follower_without_a_view_is_sent_one {
        let news = view_of(9, 20).next_update(&mut Cursor::new(None, 0));
        assert!(matches!(news, Update::View(view) if view.members.len() == 9));
    }

    a_follower_whose_view_is_as_new_is_sent_none {
        let view = view_of(9, 20);
        for revision in [20, 21] {
            let news = view.next_update(&mut Cursor::new(None, revision));
            assert!(matches!(news, Update::Changes(changes) if changes.changes.is_empty()));
        }
    }

    it_is_sent_what_changes_then {
        let view = view_of(9, 20);
        view.apply(vec![Change::Left("vm-1".into())], 21, Instant::now());
        let mut cursor = Cursor::new(None, 21);
        assert!(matches!(view.next_update(&mut cursor), Update::Changes(_)));
        view.apply(vec![Change::Joined(member("vm-10"))], 22, Instant::now());
        let Update::Changes(changes) = view.next_update(&mut cursor) else { panic!("a view") };
        assert_eq!(changes.changes, [Change::Joined(member("vm-10"))]);
        assert_eq!(changes.revision, 22);
    }

    a_follower_with_an_older_view_is_sent_one {
        let news = view_of(9, 20).next_update(&mut Cursor::new(None, 19));
        assert!(matches!(news, Update::View(_)));
    }
}

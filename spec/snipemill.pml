/*
 * Core protocol of snipemill, checked by Spin (scripts/check-model). Four
 * parts are searched one after the other:
 *   -DTICKETS  operators race for ticket numbers, and a reader reads both
 *              objects of the configuration one by one
 *   -DSPREAD   hosts of one data centre read, pull, are paused, are replaced
 *              and are cut off from the platform
 *   -DCLAIMS   hosts race to claim one submit key
 *   -DERA      two hosts follow a store that comes back from an older copy
 *
 * Each -DBROKEN_xxx removes one rule; Spin must then find an error. An answer
 * that takes long is a value that a process took earlier and uses later, so a
 * pause is just another interleaving. docs/protocol.md says what is left out.
 */

#ifdef TICKETS

#define OPERATORS 2
#define MAX_NUMBER 4     /* numbers 1 to 4; 1 is in force at the start */
#define MAX_HEAD 1       /* stands for max_head_tickets */
#define MAX_ATTEMPTS 3

/*
 * The platform. Every update of config/head grows its number by one, so the
 * number also stands for the version of the object; the same holds for
 * config/state.
 */
byte head_number = 1;
byte head_base = 0;
byte state_number = 0;
byte accepted[MAX_NUMBER + 1]; /* nonce by number, 0: none */

/* A write of the head that may still take effect: its number, 0: none. */
byte pending[OPERATORS + 1];
byte pending_base[OPERATORS + 1];
bool told_lost[OPERATORS + 2]; /* ticket_conflict was returned */

/* The platform's conditional update of config/head. */
inline put_head(nonce, next, base)
{
    assert(accepted[next] == 0);    /* one accepted ticket per number */
    assert(!told_lost[nonce]);      /* a loser's ticket is not accepted */
    for (i : 1 .. MAX_NUMBER) {
        assert(accepted[i] != nonce) /* one number per ticket */
    }
    accepted[next] = nonce;
    head_number = next;
    head_base = base;
    assert(head_base <= state_number) /* no ticket is lost by a cut */
}

/* Whether the condition of an update to this number holds. */
#ifdef BROKEN_UNCONDITIONAL_HEAD
#define MAY_PUT(next) (true)
#else
#define MAY_PUT(next) (head_number + 1 == (next))
#endif

/* ticket_submission: one ticket with the process number as its nonce. */
proctype operator(byte me)
{
    byte read_head, read_base, read_state; /* head_and_state */
    byte next, base, tried, attempts, i;
    bool own, takes_next;

    /* ticket_submission::ticket_submission: number 0 or a fixed number. */
    if
    :: takes_next = true
    :: takes_next = false
    fi;

again: /* read_head_and_state; the two objects are read one by one */
    atomic {
        if
        :: attempts == MAX_ATTEMPTS -> goto end
        :: else -> attempts++
        fi;
        next = 0; base = 0; i = 0; /* fewer states */
        read_head = head_number; read_base = head_base
    };
    /* ticket_submission::on_read, consistent() */
    atomic {
        read_state = state_number;
        if
        :: read_base > read_state || read_state > read_head -> goto again
        :: else
        fi;
        /* ticket_submission::resolve, find_nonce(): head, then history */
        own = false;
#ifndef BROKEN_NO_NONCE
        for (i : 1 .. MAX_NUMBER) {
            if
            :: accepted[i] == me && i > read_base && i <= read_head ->
                own = true
#ifndef BROKEN_NO_HISTORY
            :: accepted[i] == me && i <= read_state -> own = true
#endif
            :: else
            fi
        }
#endif
        if
        :: own -> goto end /* ticket_accepted */
        :: else
        fi;
        next = read_head + 1;
        if
        :: !takes_next && tried != 0 && tried < next ->
            told_lost[me] = true; /* ticket_conflict */
            goto end
        :: else
        fi;
        if
        :: next > MAX_NUMBER -> goto end /* bound of the model */
        :: else
        fi;
        tried = next;
        /* ticket_submission::next_write, over_limits() and cut() */
        base = read_base;
        if
        :: next - base > MAX_HEAD -> base = read_head
        :: else
        fi
    };
#ifndef BROKEN_CUT_BEFORE_STATE
    if
    :: base > read_state -> /* write_state; on_written() */
        atomic {
            if
#ifndef BROKEN_UNCONDITIONAL_STATE
            :: state_number != read_state -> goto again
#endif
            :: else ->
                state_number = read_head;
                assert(state_number >= head_base)
            fi
        }
    :: else
    fi;
#endif
    /* write_head; on_written(). A submitter may also stop here for good. */
    atomic {
        if
        :: MAY_PUT(next) -> /* written, and the answer arrives */
            put_head(me, next, base);
            goto end
        :: MAY_PUT(next) -> /* written, and the answer is lost */
            put_head(me, next, base);
            goto again
        :: !MAY_PUT(next) -> goto again /* conflict */
        :: pending[me] = next; /* no answer yet: write_result::unavailable */
            pending_base[me] = base;
            goto again
        :: goto end /* crashed */
        fi
    };
end:
    atomic {
        read_head = 0; read_base = 0; read_state = 0;
        next = 0; base = 0; tried = 0; attempts = 0; i = 0;
        own = false; takes_next = false
    }
}

/* A third submission, all of it at one moment while the others are paused. */
proctype quick_operator(byte me)
{
    byte i;
    atomic {
        head_number < MAX_NUMBER ->
        state_number = head_number;
        put_head(me, head_number + 1, head_number - 1)
    }
}

/* A reader that is behind: platform_reader and config_spread::on_read. */
proctype reader()
{
    byte have, got_number, got_base, got_state;
    do
    :: have < head_number ->
        /* read_config; the adapter may read either object first. */
        if
        :: atomic { got_number = head_number; got_base = head_base };
            got_state = state_number
        :: got_state = state_number;
            atomic { got_number = head_number; got_base = head_base }
        fi;
        /* config_spread::impl::adopt_read, config_store::adopt */
        atomic {
            if
            :: got_base > have && got_state > have -> have = got_state
            :: else
            fi;
            if
#ifndef BROKEN_GAP_ADOPTED
            :: got_base > have -> skip /* platform_reader::on_gap */
#endif
            :: else ->
                assert(got_base <= have); /* no ticket is left out */
                if
                :: got_number > have -> have = got_number
                :: else
                fi
            fi;
            got_number = 0; got_base = 0; got_state = 0
        }
    od
}

/* Writes that take effect late or never. */
proctype network()
{
    byte i, op;
    do
    :: atomic {
            if
            :: pending[1] != 0 -> op = 1
            :: pending[2] != 0 -> op = 2
            fi;
            if
            :: MAY_PUT(pending[op]) ->
                put_head(op, pending[op], pending_base[op])
            :: true /* refused, or lost */
            fi;
            pending[op] = 0;
            pending_base[op] = 0;
            op = 0;
            i = 0
        }
    od
}

init
{
    atomic {
        accepted[1] = 255; /* a ticket from before */
        run network();
        run operator(1);
        run operator(2);
        run quick_operator(OPERATORS + 1);
        run reader()
    }
}

#endif /* TICKETS */

#ifdef SPREAD

#define HOSTS 3
#define MAX_NUMBER 3
#define MAX_REPLACED 2
#define MAX_CUTS 1

byte head_number = 1;
byte number[HOSTS];  /* config_store::number */
bool ready[HOSTS];   /* config_spread::ready */
byte confirmed = 1;  /* highest number that all hosts had in force */
byte replaced = 0;
byte cuts = 0;
bool cut_off = false;

/* A ticket that all hosts have in force is confirmed in the data centre. */
inline confirm()
{
    low = number[0];
    for (i : 1 .. HOSTS - 1) {
        if
        :: number[i] < low -> low = number[i]
        :: else
        fi
    }
    if
    :: ready[0] && ready[1] && ready[2] && low > confirmed -> confirmed = low
    :: else
    fi;
    low = 0;
    i = 0
}

/* config_store::adopt */
inline adopt(got)
{
#ifdef BROKEN_BACKWARD_ADOPTION
    assert(got >= number[me]); /* no host reverts */
    number[me] = got
#else
    if
    :: got > number[me] -> number[me] = got
    :: else
    fi
#endif
}

/* config_spread::impl::update_ready */
inline become_ready()
{
    if
    :: !ready[me] ->
        ready[me] = true;
        /* A confirmed ticket survives the replacement of a host. */
        assert(number[me] >= confirmed)
    :: else
    fi
}

/* config_spread::answer: only a ready host answers. */
#ifdef BROKEN_STARTING_HOST_ANSWERS
#define ANSWERS(p) (true)
#else
#define ANSWERS(p) (ready[p])
#endif

/* config_spread::impl::run_pulls */
#define MAY_PULL(p) (p != me && ANSWERS(p) && \
                     (number[p] > number[me] || !ready[me]))

#define PULL(p) \
    atomic { !pulling && MAY_PULL(p) -> pulling = true; pulled = number[p] }

proctype host(byte me)
{
    /* A read and a pull may be under way at the same time. */
    bool reading, pulling;
    byte read, pulled, i, low;

    do
    /* platform_reader::run. Any host may be a reader (reader_rank): a
     * takeover only changes who reads. */
    :: atomic { !reading && !cut_off &&
            (head_number > number[me] || !ready[me]) ->
            reading = true; read = head_number }
    /* config_spread::on_read */
    :: atomic { reading ->
            adopt(read); become_ready(); confirm();
            reading = false; read = 0 }
    /* config_spread::impl::run_pulls */
    :: PULL(0)
    :: PULL(1)
    :: PULL(2)
    /* config_spread::on_push, start_quorum::reached: of three hosts, the
     * host itself and one answer are a majority. */
    :: atomic { pulling ->
            adopt(pulled); become_ready(); confirm();
            pulling = false; pulled = 0 }
#ifdef BROKEN_NO_QUORUM
    :: atomic { !ready[me] -> become_ready(); confirm() }
#endif
    /* A new host takes the place; answers to the old one are lost. */
    :: atomic { replaced < MAX_REPLACED ->
            replaced++;
            number[me] = 0; ready[me] = false;
            reading = false; read = 0;
            pulling = false; pulled = 0 }
    od
}

/* Accepted tickets, and the data centre's link to the platform. */
proctype environment()
{
    do
    :: atomic { head_number < MAX_NUMBER -> head_number++ }
    :: atomic { !cut_off && cuts < MAX_CUTS -> cut_off = true; cuts++ }
    :: atomic { cut_off -> cut_off = false }
    od
}

init
{
    atomic {
        byte h;
        for (h : 0 .. HOSTS - 1) {
            number[h] = 1;
            ready[h] = true
        }
        run environment();
        run host(0);
        run host(1);
        run host(2)
    }
}

#endif /* SPREAD */

#ifdef CLAIMS

#define ATTEMPTS 3

byte claim = 0;             /* nonce of the claim's creator, 0: none */
bool outcome_known = false; /* the claim holds the outcome */
bool pending[ATTEMPTS + 1]; /* a create that may still take effect */
byte dispatched = 0;

/* submit_engine: one attempt to run the request with this key. */
proctype attempt(byte me)
{
    /* Conditional create of claims/<group>/<key hash>. */
    atomic {
        if
#ifdef BROKEN_UNCONDITIONAL_CLAIM
        :: claim = me; goto dispatch
#else
        :: claim == 0 -> claim = me; goto dispatch /* answer arrives */
        :: claim == 0 -> claim = me; goto read_back /* answer is lost */
        :: claim != 0 -> goto other
        :: pending[me] = true; goto read_back /* takes effect later or not */
#endif
        fi
    };
read_back: /* compares the nonce of the stored claim */
#ifdef BROKEN_NO_CLAIM_READ_BACK
    goto dispatch;
#endif
    atomic {
        if
        :: claim == me -> goto dispatch
        :: claim != 0 && claim != me -> goto other
#ifdef BROKEN_ABSENT_CLAIM_RUNS
        :: claim == 0 -> goto dispatch
#else
        :: claim == 0 -> goto end /* not_run */
#endif
        fi
    };
other: /* in_progress, or the stored outcome */
#ifdef BROKEN_RESEND_RUNS
    atomic {
        if
        :: !outcome_known -> goto dispatch
        :: else
        fi
    };
#endif
    goto end;
dispatch:
    atomic {
        dispatched++;
        assert(dispatched <= 1) /* at most one dispatch per claimed key */
    };
    /* The host may be gone before it stores the outcome. */
    if
    :: outcome_known = true
    :: skip
    fi;
end:
    skip
}

/* Late creates take effect only while there is no claim. */
proctype network()
{
    byte i;
    do
    :: atomic {
            if
            :: pending[1] -> i = 1
            :: pending[2] -> i = 2
            :: pending[3] -> i = 3
            fi;
            pending[i] = false;
            if
            :: claim == 0 -> claim = i
            :: true
            fi;
            i = 0
        }
    od
}

init
{
    atomic {
        run network();
        run attempt(1);
        run attempt(2);
        run attempt(3)
    }
}

#endif /* CLAIMS */

#ifdef ERA

/*
 * A store that comes back from an older copy, and two hosts that follow it
 * with listings of two pages, watches and floors. Each host is sequential; an
 * answer that is under way is held in the host until it is used.
 */

#define MAX_REVISION 3
#define MAX_ERA 1
#define SLOTS 8 /* (MAX_ERA + 1) * (MAX_REVISION + 1) */
#define AT(e, r) ((e) * (MAX_REVISION + 1) + (r))

/* The store: two entries, with the revisions of their last writes. */
byte era = 0;
byte revision = 1;
byte entry[2];
byte written[2];
byte next_value = 1;

/* The copy that the store comes back from. */
byte copy_revision = 1;
byte copy_written[2];

/* What the store held at each revision of each era. */
byte truth0[SLOTS];
byte truth1[SLOTS];

/* What the hosts have; a listed host watches. */
byte my_era[2];
byte my_revision[2];
byte my0[2];
byte my1[2];
bool listed[2];

/* A floor on its way to the host; floors may be lost or late. */
bool floor_sent[2];
byte floor_era[2];
byte floor_revision[2];

inline record()
{
    truth0[AT(era, revision)] = entry[0];
    truth1[AT(era, revision)] = entry[1]
}

/* The operator and the upstreams: each value is written once. */
proctype writer()
{
    byte i;
    do
    :: atomic { revision < MAX_REVISION && next_value < 5 ->
            if
            :: i = 0
            :: i = 1
            fi;
            revision++;
            entry[i] = next_value;
            written[i] = revision;
            next_value++;
            record();
            i = 0 }
    /* A copy is taken. */
    :: atomic { copy_revision != revision ->
            copy_revision = revision;
            copy_written[0] = written[0]; copy_written[1] = written[1] }
    /* The store comes back from it. */
    :: atomic { era < MAX_ERA && copy_revision < revision ->
            revision = copy_revision;
            entry[0] = truth0[AT(era, revision)];
            entry[1] = truth1[AT(era, revision)];
            era++;
            written[0] = copy_written[0]; written[1] = copy_written[1];
            record() }
    od
}

/* Every copy that is watched from is what the store held at that revision. */
#define CHECK_COPY(e) \
    assert(my0[me] == truth0[AT(e, my_revision[me])] && \
           my1[me] == truth1[AT(e, my_revision[me])])

/* store_mirror::enter_era: list again. */
#ifdef BROKEN_ANSWERS_WITHOUT_ERA
#define ENTER(e) false
#else
#define ENTER(e) ((e) != my_era[me])
#endif

proctype host(byte me)
{
    byte got_era, got_revision, got0, got1;
    bool news0, news1, gone;
    byte page_era, page_revision, page0;

    do
    /* Two pages of a listing; the watch begins at the older revision. */
    :: !listed[me] ->
        atomic {
            page_era = era; page_revision = revision; page0 = entry[0]
        };
        /* on_page, while the second page is under way */
        atomic {
            got_era = era; got_revision = revision; got1 = entry[1]
        };
        atomic {
            if
#ifndef BROKEN_PAGES_OF_TWO_ERAS
            :: got_era != page_era -> skip /* list again */
#endif
            :: else ->
                my0[me] = page0;
                my1[me] = got1;
                my_era[me] = got_era;
                listed[me] = true;
                if
                :: got_revision > page_revision ->
                    /* The watch repeats what changed between the pages. */
                    my_revision[me] = page_revision
                :: else ->
                    my_revision[me] = got_revision;
                    CHECK_COPY(got_era)
                fi
            fi;
            got_era = 0; got_revision = 0; got1 = 0;
            page_era = 0; page_revision = 0; page0 = 0
        }
    /* A watch; the answer may be late. */
    :: listed[me] ->
        atomic {
            got_era = era;
            got_revision = revision;
            got0 = entry[0];
            got1 = entry[1];
            gone = my_revision[me] > revision; /* 410 */
            news0 = written[0] > my_revision[me];
            news1 = written[1] > my_revision[me]
        };
        /* on_events */
        atomic {
            if
            :: gone || ENTER(got_era) -> listed[me] = false
            :: else ->
                if :: news0 -> my0[me] = got0 :: else fi;
                if :: news1 -> my1[me] = got1 :: else fi;
                my_revision[me] = got_revision;
                CHECK_COPY(got_era)
            fi;
            got_era = 0; got_revision = 0; got0 = 0; got1 = 0;
            news0 = false; news1 = false; gone = false
        }
    /* floor_keeper: a host that is up to date tells the other. */
    :: atomic { listed[me] && !floor_sent[1 - me] ->
            floor_sent[1 - me] = true;
            floor_era[1 - me] = my_era[me];
            floor_revision[1 - me] = my_revision[me] }
    :: atomic { floor_sent[me] -> /* lost */
            floor_sent[me] = false;
            floor_era[me] = 0; floor_revision[me] = 0 }
    /* on_message: the copy counts as new enough, or a read follows. */
    :: atomic { floor_sent[me] && listed[me] ->
            if
#ifndef BROKEN_FLOORS_WITHOUT_ERA
            :: floor_era[me] < my_era[me] -> skip /* ignored */
            :: floor_era[me] > my_era[me] -> listed[me] = false
#endif
            :: else ->
                if
                :: my_revision[me] >= floor_revision[me] ->
                    /* Not of a store that the floor has left behind. */
                    assert(my_era[me] >= floor_era[me])
                :: else -> listed[me] = false
                fi
            fi;
            floor_sent[me] = false;
            floor_era[me] = 0; floor_revision[me] = 0 }
    od
}

init
{
    atomic {
        record();
        run writer();
        run host(0);
        run host(1)
    }
}

#endif /* ERA */

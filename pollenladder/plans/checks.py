"""Checks of declarations against the settings of the daemons."""

from collections.abc import Iterator

from pollenladder.conf import checks
from pollenladder.conf import settings
from pollenladder.plans import declarations


def run(
    declared: declarations.Declarations, used: settings.Settings
) -> list[checks.Finding]:
    """Return findings of declarations that these settings can't serve well."""
    return [
        *_check_shares(declared, used),
        *_check_loans(declared, used),
        *_check_unused_plans(declared),
    ]


def _check_shares(declared, used) -> Iterator[checks.Finding]:
    """Warn if some shard's share is none, so it must always borrow."""
    shards = sum(centre.shards for centre in used.data_centres.values())
    for plan in declared.plans.values():
        if plan.allowance.running_tasks < shards:
            yield checks.Finding(
                "plans.W001",
                ("plans", plan.plan_id, "allowance", "running_tasks"),
                f"is below the number of shards, {shards}",
                "some shards start its tasks on loans alone; raise it",
            )


def _check_loans(declared, used) -> Iterator[checks.Finding]:
    """Warn if a task may outlast a loan, so it never runs on one."""
    term_s = used.timings.loan_term_s - used.timings.lease_ttl_s
    for plan in declared.plans.values():
        for kind in plan.kinds.values():
            if kind.max_run_s >= term_s:
                path = ("plans", plan.plan_id, "kinds", kind.name, "max_run_ms")
                yield checks.Finding(
                    "plans.W002",
                    path,
                    f"is not below loan_term_s less lease_ttl_s, {term_s} s",
                    "its tasks never start on loans; lower it",
                )


def _check_unused_plans(declared) -> Iterator[checks.Finding]:
    """Warn of a plan that no customer may use."""
    used = {p for c in declared.customers.values() for p in c.plan_ids}
    for plan_id in declared.plans:
        if plan_id not in used:
            yield checks.Finding(
                "plans.W003",
                ("plans", plan_id),
                "is used by no customer",
                "name it in a customer's plans, or remove it",
            )

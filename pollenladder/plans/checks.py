"""Check declarations against the settings of the daemons."""

from collections.abc import Iterator

from pollenladder.conf import checks
from pollenladder.conf import settings
from pollenladder.plans import declarations


def run(
    declared: declarations.Declarations, current: settings.Settings
) -> list[checks.Finding]:
    """Return warnings about declarations that don't fit the settings."""
    return [
        *_check_shares(declared, current),
        *_check_loans(declared, current),
        *_check_unused_plans(declared),
    ]


def _check_shares(declared, current) -> Iterator[checks.Finding]:
    """Warn if some shard has a share of 0 and always has to borrow."""
    shards = sum(centre.shards for centre in current.data_centres.values())
    for plan in declared.plans.values():
        if plan.allowance.running_tasks < shards:
            yield checks.Finding(
                "plans.W001",
                ("plans", plan.plan_id, "allowance", "running_tasks"),
                f"is below the number of shards, {shards}",
                "some shards start its tasks on loans alone; raise it",
            )


def _check_loans(declared, current) -> Iterator[checks.Finding]:
    """Warn if a kind's maximum run time keeps its tasks from using loans."""
    term_s = current.timings.loan_term_s - current.timings.lease_ttl_s
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
    """Warn about a plan that no customer may use."""
    used_ids = {p for c in declared.customers.values() for p in c.plan_ids}
    for plan_id in declared.plans:
        if plan_id not in used_ids:
            yield checks.Finding(
                "plans.W003",
                ("plans", plan_id),
                "is used by no customer",
                "name it in a customer's plans, or remove it",
            )

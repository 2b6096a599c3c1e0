/*
 * Tests the partition of instances by shares. Guards against prefix caches that are lost because engines change their
 * group without need, and against groups without an engine.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId

private val engines = (1..31).map { InstanceId("engine-$it") }

private fun partition(
    ids: List<InstanceId>,
    vararg fractions: Double,
) = partitionInstances(ids, 3, GroupShares(fractions.toList()))

private fun sizes(partition: Map<InstanceId, Int>) = (0..2).map { group -> partition.values.count { it == group } }

class GroupSharesTest :
    FunSpec({
        test("a change of shares moves only the engines between the old and the new ends of groups") {
            val before = partition(engines, 0.125, 0.125)
            val after = partition(engines, 0.25, 0.125)
            sizes(before) shouldContainExactly listOf(4, 4, 23)
            sizes(after) shouldContainExactly listOf(8, 4, 19)
            val ranked = engines.sortedByDescending(::partitionWeight)
            val moved = ranked.indices.filter { before[ranked[it]] != after[ranked[it]] }
            moved shouldContainExactly (4..11).toList()
        }

        test("an engine that restarts under its id returns to its group, and moves at most one engine in between") {
            val before = partition(engines, 0.125, 0.125)
            for (restarted in engines) {
                val meanwhile = partition(engines - restarted, 0.125, 0.125)
                (0..1).forEach { group ->
                    before.count { (id, its) ->
                        its <= group && id != restarted && meanwhile.getValue(id) > group
                    } shouldBe
                        0
                    before.count { (id, its) ->
                        its > group && id != restarted && meanwhile.getValue(id) <= group
                    } shouldBe
                        if (before.getValue(restarted) <= group) 1 else 0
                }
                // The registry lists a restarted engine in another place.
                partition(engines - restarted + restarted, 0.125, 0.125) shouldContainExactly before
            }
        }

        test("each group has an engine, whatever the shares") {
            for (count in 4..40) {
                val ids = engines.take(minOf(count, engines.size))
                sizes(partition(ids, 0.5, 0.5)).min() shouldBe 1
                sizes(partition(ids, 0.0, 0.0)).take(2) shouldContainExactly listOf(1, 1)
            }
        }

        // Deployments without the switch are partitioned by these counts since the groups exist.
        test("the fixed shares are 0.15, 0.25 and the rest") {
            for (count in 4..31) {
                val first = maxOf(1, Math.round(count * 0.15).toInt())
                val second = maxOf(1, Math.round(count * 0.25).toInt())
                val ids = engines.take(count)
                sizes(partitionInstances(ids, 3)) shouldContainExactly listOf(first, second, count - first - second)
                partitionInstances(ids, 2).values.count { it == 0 } shouldBe first
            }
            partitionInstances(engines.take(3), 3, GroupShares.INITIAL) shouldBe emptyMap()
        }
    })

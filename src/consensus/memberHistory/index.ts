import { LogIndex } from "../../ids/index.js";
import { Configuration } from "../member/index.js";

interface ConfigurationAt {
    readonly index: LogIndex;
    readonly configuration: Configuration;
}

/**
 * The members' lists of the log, from its base on. A list counts as soon as its entry is in the log, committed or not; when
 * the entry is taken back, the list before it counts again.
 *
 * @example
 * history.push(index, configuration);
 */
export class MemberHistory {
    private lists: ConfigurationAt[];

    /**
     * @param index - The base: 0, or a snapshot's index.
     * @param configuration - The members there.
     * @param onChange - Told when the newest list may be another one.
     */
    constructor(index: LogIndex, configuration: Configuration, private readonly onChange: () => void) {
        this.lists = [{ index, configuration }];
    }

    get newest(): Configuration {
        return this.lists.at(-1)!.configuration;
    }

    /** The index of the entry that the newest list is from. */
    get newestIndex(): LogIndex {
        return this.lists.at(-1)!.index;
    }

    /** The list before the newest; undefined where the newest is the base. */
    get previous(): Configuration | undefined {
        return this.lists.at(-2)?.configuration;
    }

    /** The list in force at an index. */
    at(index: LogIndex): Configuration {
        return this.lists.findLast(list => list.index <= index)!.configuration;
    }

    push(index: LogIndex, configuration: Configuration): void {
        this.lists.push({ index, configuration });
        this.onChange();
    }

    /** Takes back the lists from an index on. */
    dropFrom(index: LogIndex): void {
        this.lists = this.lists.filter((list, place) => place === 0 || list.index < index);
        this.onChange();
    }

    /** Replaces the base by a later one, and the lists up to it; `keepsLater` keeps those behind it. */
    rebase(index: LogIndex, configuration: Configuration, keepsLater: boolean): void {
        const later = keepsLater ? this.lists.filter(list => list.index > index) : [];
        this.lists = [{ index, configuration }, ...later];
        this.onChange();
    }
}

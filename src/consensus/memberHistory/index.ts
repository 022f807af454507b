import { LogIndex } from "../../ids/index.js";
import { Configuration } from "../member/index.js";

/** A configuration and the index of the entry that contains it. */
interface IndexedConfiguration {
    readonly index: LogIndex;
    readonly configuration: Configuration;
}

/**
 * Configurations in the log, starting at its base. A configuration takes effect as soon as its entry is in the log,
 * committed or not; when the entry is removed, the previous configuration takes effect again.
 *
 * @example
 * history.push(index, configuration);
 */
export class MemberHistory {
    private configurations: IndexedConfiguration[];

    /**
     * @param index - Index of the base: 0 or a snapshot's index.
     * @param configuration - Configuration at the base.
     * @param onChange - Called when the newest configuration may have changed.
     */
    constructor(index: LogIndex, configuration: Configuration, private readonly onChange: () => void) {
        this.configurations = [{ index, configuration }];
    }

    get newest(): Configuration {
        return this.configurations.at(-1)!.configuration;
    }

    /** Index of the entry that contains the newest configuration. */
    get newestIndex(): LogIndex {
        return this.configurations.at(-1)!.index;
    }

    /** Configuration before the newest one; undefined when the newest is the base. */
    get previous(): Configuration | undefined {
        return this.configurations.at(-2)?.configuration;
    }

    /** Returns the configuration in effect at an index. */
    at(index: LogIndex): Configuration {
        return this.configurations.findLast(item => item.index <= index)!.configuration;
    }

    push(index: LogIndex, configuration: Configuration): void {
        this.configurations.push({ index, configuration });
        this.onChange();
    }

    /** Removes the configurations at or after an index, except the base. */
    truncateFrom(index: LogIndex): void {
        this.configurations = this.configurations.filter((item, position) => position === 0 || item.index < index);
        this.onChange();
    }

    /**
     * Replaces the base and the configurations up to it with a later one. `keepLater` keeps the configurations after
     * it.
     */
    rebase(index: LogIndex, configuration: Configuration, keepLater: boolean): void {
        const later = keepLater ? this.configurations.filter(item => item.index > index) : [];
        this.configurations = [{ index, configuration }, ...later];
        this.onChange();
    }
}

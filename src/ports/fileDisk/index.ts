import { createHash } from "node:crypto";
import { FileHandle, mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { dirname, join, resolve } from "node:path";
import { AppendFile, Disk, DiskError, DiskLock } from "../disk/index.js";

/**
 * Disk on the local file system.
 *
 * @example
 * const disk = new FileDisk("/var/lib/sequoiamux");
 */
export class FileDisk extends Disk {
    /** @param root - The data folder. */
    constructor(private readonly root: string) {
        super();
    }

    async makeFolder(path: string): Promise<void> {
        await withDiskErrors(async () => {
            await mkdir(this.resolvePath(path), { recursive: true });
            await syncFolder(dirname(this.resolvePath(path)));
        });
    }

    async list(path: string): Promise<string[]> {
        return withDiskErrors(async () => (await readdir(this.resolvePath(path))).sort());
    }

    async read(path: string): Promise<Uint8Array | undefined> {
        try {
            return await readFile(this.resolvePath(path));
        }
        catch (err) {
            if (isMissing(err)) return undefined;
            throw toDiskError(err);
        }
    }

    async openAppend(path: string): Promise<AppendFile> {
        return withDiskErrors(async () => {
            const handle = await open(this.resolvePath(path), "a+");
            const { size } = await handle.stat();
            await syncFolder(dirname(this.resolvePath(path)));
            return new FileDiskAppendFile(handle, size);
        });
    }

    async replace(path: string, bytes: Uint8Array): Promise<void> {
        const target = this.resolvePath(path);
        const temporary = `${target}.draft`;
        await withDiskErrors(async () => {
            const handle = await open(temporary, "w");
            try {
                await handle.writeFile(bytes);
                await handle.sync();
            }
            finally {
                await handle.close();
            }
            await rename(temporary, target);
            await syncFolder(dirname(target));
        });
    }

    async remove(path: string): Promise<void> {
        await withDiskErrors(() => rm(this.resolvePath(path), { force: true }));
    }

    /**
     * Locks the folder by listening on a socket in Linux's abstract namespace that is named after it. The kernel closes the
     * socket with the process, so a crash leaves no stale lock, as a lock file would. Where such sockets are not available,
     * no lock is taken, since no other lock ends with its process: each folder must then be used by one process only.
     */
    async lock(): Promise<DiskLock> {
        const socketName = createHash("sha256").update(resolve(this.root)).digest("hex").slice(0, 32);
        const server = createServer();
        const isLocked = await new Promise<boolean>((done, fail) => {
            server.once("error", (err: NodeJS.ErrnoException) => {
                if (err.code !== "EADDRINUSE") return done(false);
                fail(new DiskError("locked", `${this.root} is in use by another process`));
            });
            server.listen(`\0sequoiamux-${socketName}`, () => done(true));
        });
        if (!isLocked) return { release: async () => undefined };
        server.unref();
        return { release: () => new Promise<void>(done => server.close(() => done())) };
    }

    private resolvePath(path: string): string {
        return join(this.root, path);
    }
}

class FileDiskAppendFile extends AppendFile {
    constructor(private readonly handle: FileHandle, private written: number) {
        super();
    }

    get size(): number {
        return this.written;
    }

    async append(bytes: Uint8Array): Promise<void> {
        await withDiskErrors(() => this.handle.appendFile(bytes));
        this.written += bytes.length;
    }

    async sync(): Promise<void> {
        await withDiskErrors(() => this.handle.datasync());
    }

    async truncate(size: number): Promise<void> {
        await withDiskErrors(async () => {
            await this.handle.truncate(size);
            await this.handle.sync();
        });
        this.written = size;
    }

    async close(): Promise<void> {
        await this.handle.close();
    }
}

async function syncFolder(path: string): Promise<void> {
    const handle = await open(path, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

async function withDiskErrors<Value>(work: () => Promise<Value>): Promise<Value> {
    try {
        return await work();
    }
    catch (err) {
        throw toDiskError(err);
    }
}

function isMissing(err: unknown): boolean {
    return (err as NodeJS.ErrnoException).code === "ENOENT";
}

function toDiskError(err: unknown): DiskError {
    if (err instanceof DiskError) return err;
    const { code, message } = err as NodeJS.ErrnoException;
    if (code === "ENOSPC" || code === "EDQUOT") return new DiskError("full", message);
    return new DiskError(code === "ENOENT" ? "missing" : "io", message);
}

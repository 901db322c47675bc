"""The virtual orchard: the cores of a whole fleet, with its links, disks, clocks and operators, in one
process and in virtual time. One seed decides all that befalls it, so a failure is a seed to replay.
"""
